// Guards against an explanation that differs from what the instance would do, or that changes what it describes: a count, a place, a load request.
import { inspect } from 'node:util'
import { describe, expect, it } from 'vitest'
import { LimpetwinchError, silentLogger } from '@limpetwinch/core'
import type { EndpointId, FencingToken, TeamId } from '@limpetwinch/core'
import { EngineSpeeds, ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import { AcceptedConfiguration } from '../src/cluster-state/accepted-configuration.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import { RequestExplainer } from '../src/operator/request-explainer.js'
import type { WhereAnswer } from '../src/operator/where-answer.js'
import { answerWhere } from '../src/operator/where-listener.js'
import { WhereSection } from '../src/operator/where-section.js'
import type { WhereSubject } from '../src/operator/where-section.js'
import type { EndpointRateLimiter } from '../src/rate-limits/endpoint-rate-limiter.js'
import type { PromptPart } from '../src/relay/request-codec.js'
import { EngineRouter } from '../src/routing/engine-router.js'
import { FirstEventForecast } from '../src/routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { PrefixCacheEstimate } from '../src/routing/prefix-cache-estimate.js'
import { ServiceRouter } from '../src/routing/service-router.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint, engineShape, key, LOAD_OWNER, NO_BACKOFFS, route, service } from './support/samples.js'

const ENGINES = ['fast', 'slow', 'far'] as const
const PROMPT: readonly PromptPart[] = [{ id: 'aa', tokens: 6_000 }, { id: 'bb', tokens: 300 }]
const DRAFT = { host: 'listings.example', path: '/draft/1', model: 'base', adapter: 'held', prompt: 'aa:6000,bb:300', outputTokens: '50' }

/** Says which endpoints were listed. */
class ListedSection extends WhereSection {
  override readonly name = 'listed'

  override describe ({ endpoints, service: { engine } }: WhereSubject): Readonly<Record<string, unknown>> | undefined {
    return engine === undefined ? undefined : { count: endpoints.length }
  }
}

/** An instance with engines and plain endpoints, and the explainer of it. */
class World {
  readonly clock = new ManualClock()
  readonly directory = new EndpointDirectory(silentLogger())
  readonly locations = new AdapterLocations()
  readonly workTracker = new EndpointWorkTracker()
  readonly speeds = new EngineSpeeds()
  readonly prefixes = new PrefixCacheEstimate()
  readonly ejection = new OutlierEjection()
  readonly errors = new ErrorRates()
  readonly configuration = new AcceptedConfiguration(silentLogger())
  readonly forecast = new FirstEventForecast(this.speeds)
  readonly withoutRoom = new Set<EndpointId>()
  refusal: LimpetwinchError | undefined
  loadMilliseconds = 270
  loadOwners = true
  readonly explainer: RequestExplainer

  constructor () {
    const now = this.clock.now()
    const engines = ENGINES.map((id) => endpoint(id, { service: 'engines', dataCentre: id === 'far' ? 'there' : 'here' }))
    this.directory.apply({ revision: 1, endpoints: [...engines, endpoint('one'), endpoint('two')] }, undefined, now)
    this.configuration.apply({
      version: 7,
      routes: [
        route({ name: 'draft', pathPrefix: '/draft/', kind: 'stream', targets: [{ service: 'engines', weight: 1 }], objectiveMilliseconds: 1_000, priority: 2 }),
        route({ name: 'list', pathPrefix: '/list/' })
      ],
      services: [service('engines', engineShape({ batchSlots: 64 })), service('guide')],
      limits: { headerBytes: 1_000, bodyBytes: 1_000, headerMilliseconds: 1_000, idleMilliseconds: 1_000 },
      teams: [{ name: 'urgent' as TeamId, keys: [], priority: 0, quota: undefined }]
    }, 'store')
    for (const id of ['fast', 'slow'] as const) this.hold(id, id === 'slow' ? 60 : 28)
    this.prefixes.recordPrompt('fast' as EndpointId, key('held'), PROMPT.slice(0, 1), 200_000)
    this.workTracker.begin('fast' as EndpointId, { prefillTokens: 900, memoryTokens: 1_200, adapter: key('held') })
    this.explainer = this.createExplainer()
  }

  /** @returns the answer to a question with these parameters */
  where (parameters: Readonly<Record<string, string>>): WhereAnswer {
    const { status, body } = answerWhere(this.explainer, new URLSearchParams(parameters))
    expect(status).toBe(200)
    return JSON.parse(body) as WhereAnswer
  }

  /** @returns all state that a request would change */
  state (): string {
    const { directory, locations, workTracker, speeds, prefixes, ejection, errors, configuration, forecast } = this
    return inspect({ directory, locations, workTracker, speeds, prefixes, ejection, errors, configuration, forecast }, { depth: 20, maxArrayLength: null, sorted: true })
  }

  private hold (id: typeof ENGINES[number], spacing: number): void {
    for (let stream = 0; stream < 5; stream += 1) this.speeds.recordEventSpacing(id, spacing)
    this.locations.applyNotice(LOAD_OWNER, { kind: 'adapters-held', endpoint: id as EndpointId, born: 100, token: 1 as FencingToken, sequence: 1, held: [[key('held'), 3]], inFlight: [], waitMilliseconds: 40 }, this.clock.now())
  }

  private createExplainer (): RequestExplainer {
    const { clock, directory, locations, workTracker, speeds, prefixes, ejection, errors, configuration, forecast } = this
    const shared = { directory, locations, workTracker, forecast, speeds, prefixes, ejection, backoffs: NO_BACKOFFS, dataCentre: 'here' }
    const loadMilliseconds = (): number => this.loadMilliseconds
    const rateLimiter = {
      withoutRoom: () => this.withoutRoom, refusal: () => this.refusal, millisecondsUntilRoom: () => this.refusal === undefined ? undefined : 5_000, limited: new Set(), backoffs: NO_BACKOFFS
    } as unknown as EndpointRateLimiter
    return new RequestExplainer({
      ...shared,
      instance: 'ingress-here-0',
      clock,
      errors,
      configuration,
      rateLimiter,
      loadMilliseconds,
      router: new EngineRouter({ ...shared, leastVersion: () => 0, mayBegin: () => true, loadMilliseconds, hasLoadOwner: () => this.loadOwners, isNamed: () => true }),
      serviceRouter: new ServiceRouter(directory, workTracker, ejection, errors, NO_BACKOFFS, 'here'),
      engineFinder: { retryAfterSeconds: () => 0.7 },
      figures: {
        figureOf: (id) => ({ slowness: speeds.slowness(id), slowForMilliseconds: undefined, measured: { streams: 5, ageMilliseconds: 120 }, outstanding: workTracker.outstanding(id, clock.now()), workAgeMilliseconds: 90 })
      },
      sections: [new ListedSection()]
    })
  }
}

describe('the explanation of a request', () => {
  it('names the engine with the adapter and the least cost, and what the cost of the slow one rests on', () => {
    expect(new World().where(DRAFT)).toMatchSnapshot()
  })

  it('changes nothing, whatever would become of the request', () => {
    const world = new World()
    // Computes the fastest spacing of each service once, as the first request does; it is kept until a spacing changes.
    world.speeds.slowness('fast')
    const before = world.state()
    for (const parameters of [DRAFT, { ...DRAFT, adapter: 'cold' }, { service: 'guide' }, { service: 'nowhere' }, { ...DRAFT, path: '/unknown' }]) world.where(parameters)
    expect(world.state()).toBe(before)
  })

  it('names the engine that would load an adapter that no engine holds, and how long the request may wait', () => {
    const { outcome, candidates } = new World().where({ ...DRAFT, adapter: 'cold' })
    expect([outcome.kind, candidates.map(({ use }) => use)]).toEqual(['load', ['load', 'load', 'load']])
    expect(outcome).toMatchObject({ endpoint: candidates[0]?.endpoint })
  })

  it('says that a request is refused, and when to come back, when its load would take too long or no engine can load it', () => {
    const [slow, ownerless] = [new World(), new World()]
    slow.loadMilliseconds = 30_000
    ownerless.loadOwners = false
    const outcomes = [slow, ownerless].map((world) => world.where({ ...DRAFT, adapter: 'cold' }).outcome)
    expect(outcomes).toMatchSnapshot()
  })

  it('says that a request is refused when no endpoint has room in its rate limit', () => {
    const world = new World()
    for (const id of ['one', 'two', ...ENGINES]) world.withoutRoom.add(id as EndpointId)
    world.refusal = new LimpetwinchError('endpoints-rate-limited', { service: 'engines' }, { retryAfterSeconds: 5 })
    const answers = [world.where(DRAFT), world.where({ service: 'guide' })]
    expect(answers.map(({ outcome }) => outcome)).toMatchObject([{ kind: 'refused', status: 503, retryAfterSeconds: 5 }, { kind: 'refused', status: 503 }])
    expect(answers[0]?.unused).toEqual({ 'rate limit reached': [...ENGINES] })
  })

  it('takes the priority from the flag, the team or the route, in this order', () => {
    const world = new World()
    expect([{ ...DRAFT, team: 'urgent', priority: '1' }, { ...DRAFT, team: 'urgent' }, DRAFT].map((parameters) => world.where(parameters).priority)).toEqual([1, 0, 2])
  })

  it('names the endpoint of a plain service, and leaves out one that is ejected', () => {
    const world = new World()
    for (let failure = 0; failure < 3; failure += 1) world.ejection.observe('one' as EndpointId, 'failed', world.clock.now())
    expect(world.where({ service: 'guide' })).toMatchSnapshot()
  })

  it('says what is wrong with a description', () => {
    const explainer = new World().explainer
    const wrong = [{}, { service: 'guide', prompt: 'aa' }, { service: 'guide', promptTokens: 'many' }, { service: 'guide', other: '1' }]
    expect(wrong.map((parameters) => answerWhere(explainer, new URLSearchParams(parameters as Record<string, string>)).status)).toEqual([400, 400, 400, 400])
  })
})
