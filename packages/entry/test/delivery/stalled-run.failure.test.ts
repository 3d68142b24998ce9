import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { HttpEngineClient, LimpetwinchError, SystemClock } from '@limpetwinch/core'
import type { EndpointId, EngineSettings, FencingToken, LoadedName } from '@limpetwinch/core'
import type { DeliveryEvent, DeliveryOptions, DeliveryRequest } from '@limpetwinch/entry'
import { Delivery } from '@limpetwinch/entry'
import { expectedAnswer, StandInEngine } from '@limpetwinch/stand-ins'

const ADAPTER = { team: 'history', adapter: 'essays', version: 'v1' }
const NAME = 'history/essays@v1' as LoadedName
const TOKENS = 40
const WHOLE = expectedAnswer({ adapter: NAME, prompt: 'Why?', seed: 7 }, TOKENS)
const SILENCE_MILLISECONDS = 100
const WAIT = { timeout: 20_000, interval: 10 }

/** Some engines, asked in order, whose admissions and retry budget a test decides on. */
class Engines {
  readonly engines: StandInEngine[] = []
  readonly clients: HttpEngineClient[] = []
  readonly asked: string[] = []
  readonly ended: string[] = []
  /** What the router was told. */
  readonly observed: string[] = []
  readonly texts: string[] = []
  last: DeliveryEvent | undefined
  mayRetry = true
  /** @returns whether an endpoint admits the request now */
  admits: (endpoint: string, signal: AbortSignal) => Promise<Result<void, LimpetwinchError>> = async () => ok()
  private readonly clock = new SystemClock()

  async start (count: number): Promise<void> {
    for (let number = 0; number < count; number += 1) {
      const engine = new StandInEngine({ name: `engine-${number}`, stepMilliseconds: 10, loadMilliseconds: 1 })
      const client = new HttpEngineClient(`engine-${number}` as EndpointId, await engine.listen())
      this.engines.push(engine)
      this.clients.push(client)
      const loaded = await client.load({ name: NAME, token: 1 as FencingToken }, ADAPTER as never)
      expect(loaded.isOk()).toBe(true)
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.clients.map(async (client) => await client.close()))
    await Promise.all(this.engines.map(async (engine) => await engine.close()))
  }

  /** Delivers one request; texts and the last event are kept as they come. */
  async deliver (idempotent: boolean, patience: number, signal = new AbortController().signal): Promise<void> {
    const request = {
      requestId: 'request-1',
      adapter: ADAPTER,
      adapterName: NAME,
      baseModel: 'base-1',
      priority: 5,
      prompt: 'Why?',
      promptTokens: 2,
      maximumTokens: TOKENS,
      seed: 7,
      temperature: undefined,
      idempotent,
      deadlineAt: this.clock.now() + patience
    }
    const settings = { policy: { longestRequestSeconds: 60 } }
    for await (const event of new Delivery(this.options()).deliver(request as unknown as DeliveryRequest, settings as never, signal)) {
      this.last = event
      if (event.kind === 'text') this.texts.push(event.text)
    }
  }

  /** The first engine says nothing any more; its run goes on. */
  async silenceAfter (tokens: number): Promise<void> {
    await vi.waitFor(() => expect(this.texts.length).toBeGreaterThanOrEqual(tokens), WAIT)
    this.engines[0]?.setFaults({ silenceConnections: true, silentConnections: 1_000 })
  }

  runsOf (number: number): number {
    return this.engines[number]?.history.all().filter((event) => event.event === 'run-started').length ?? 0
  }

  private options (): DeliveryOptions {
    return {
      router: { route: ({ avoid }: { avoid: ReadonlySet<EndpointId> }) => ok({ engine: { endpoint: this.choose(avoid) }, owner: 'one' }), isLeaving: () => false },
      admissions: { ask: async (route: { engine: EngineSettings }, _: unknown, signal: AbortSignal) => await this.ask(route.engine.endpoint, signal) },
      directory: { sent: () => undefined, setOwner: () => undefined },
      prefixes: { sent: () => undefined },
      clientOf: ({ endpoint }: EngineSettings) => this.clients[Number(endpoint.split('-')[1])],
      policy: () => ({ observe: (endpoint: EndpointId, result: string) => this.observed.push(`${endpoint} ${result}`) }),
      explain: { begin: () => ({ add: () => undefined }) },
      retryBudget: { deposit: () => undefined, withdraw: () => this.mayRetry },
      streamLimits: { idleTimeoutMilliseconds: SILENCE_MILLISECONDS, resumesWithoutProgress: 1 },
      shareUsed: () => 1,
      clock: this.clock
    } as unknown as DeliveryOptions
  }

  /** As the router does: an engine to be avoided is better than none. */
  private choose (avoid: ReadonlySet<EndpointId>): EndpointId {
    const ids = this.engines.map((_, number) => `engine-${number}` as EndpointId)
    return ids.find((id) => !avoid.has(id)) ?? ids[0] ?? '' as EndpointId
  }

  private async ask (endpoint: EndpointId, signal: AbortSignal): Promise<Result<unknown, LimpetwinchError>> {
    this.asked.push(endpoint)
    const admitted = await this.admits(endpoint, signal)
    return admitted.map(() => ({ endpoint, loadedName: NAME, grant: { loadStall: 0, queueWait: 0 }, done: (outcome: string) => this.ended.push(`${endpoint} ${outcome}`) }))
  }
}

const started: Engines[] = []

async function start (count: number): Promise<Engines> {
  const engines = new Engines()
  started.push(engines)
  await engines.start(count)
  return engines
}

afterEach(async () => { await Promise.all(started.splice(0).map(async (engines) => await engines.stop())) })

describe('a run whose engine falls silent', () => {
  // The caller sees its whole answer from the engine that was silent for a while.
  // Guards against a run that is ended by our patience although no other engine is there to go on with it.
  it('is kept while there is no other engine', async () => {
    const engines = await start(1)
    const delivered = engines.deliver(true, 30_000)
    await engines.silenceAfter(5)
    await new Promise((resolve) => setTimeout(resolve, 10 * SILENCE_MILLISECONDS))
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.engines[0]?.calls).toMatchObject({ generate: 1, cancel: 0 })
  })

  // The caller sees its whole answer from the engine that was silent for a while.
  // Guards against a run that is ended before the retry budget is asked whether another may be begun.
  it('is kept while the retry budget is used up', async () => {
    const engines = await start(2)
    engines.mayRetry = false
    const delivered = engines.deliver(true, 30_000)
    await engines.silenceAfter(5)
    await new Promise((resolve) => setTimeout(resolve, 10 * SILENCE_MILLISECONDS))
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.asked).toEqual(['engine-0'])
  })

  // The caller of a request that may run only once sees its whole answer; nothing else was asked or run.
  // Guards against telling `unknown` of a run that goes on and that nobody else may take over.
  it('is kept when the request may run only once', async () => {
    const engines = await start(2)
    const delivered = engines.deliver(false, 30_000)
    await engines.silenceAfter(5)
    await new Promise((resolve) => setTimeout(resolve, 10 * SILENCE_MILLISECONDS))
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    expect([engines.runsOf(0), engines.runsOf(1)]).toEqual([1, 0])
    expect(engines.asked).toEqual(['engine-0'])
  })

  // The caller sees its whole answer, each word once, from the engine that admitted it at the third ask.
  // Guards against giving a run up before its replacement is secured, and a search that ends with the first refusal.
  it('is replaced once another engine has admitted the request', async () => {
    const engines = await start(2)
    engines.admits = async (endpoint) => {
      if (endpoint === 'engine-0' || engines.asked.length > 3) return ok()
      return err(new LimpetwinchError('overloaded', { reason: 'the queue is full' }, { retryAfterSeconds: 1 }))
    }
    const delivered = engines.deliver(true, 30_000)
    await engines.silenceAfter(5)
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.asked).toEqual(['engine-0', 'engine-1', 'engine-1', 'engine-1'])
    expect(engines.ended).toContain('engine-1 answered')
    // What was given up is ended at its engine as soon as it can be reached, and until then it pins its adapter.
    expect(engines.ended).not.toContain('engine-0 failed')
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await vi.waitFor(() => expect(engines.ended).toContain('engine-0 failed'), WAIT)
    expect(engines.engines[0]?.calls.cancel).toBeGreaterThan(0)
  })

  // The caller sees its whole answer, each word once; the second engine has run nothing and its admission is given back.
  // Guards against an ask that outlives its reason: a place and a pin held at an engine for nobody.
  it('gives the ask for another engine up when it goes on itself', async () => {
    const engines = await start(2)
    engines.admits = async (endpoint, signal) => {
      if (endpoint === 'engine-1') await new Promise((resolve) => { signal.addEventListener('abort', resolve) })
      return ok()
    }
    const delivered = engines.deliver(true, 30_000)
    await engines.silenceAfter(5)
    await vi.waitFor(() => expect(engines.asked).toHaveLength(2), WAIT)
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    await vi.waitFor(() => expect(engines.ended.toSorted()).toEqual(['engine-0 answered', 'engine-1 withdrawn']), WAIT)
    expect([engines.runsOf(0), engines.runsOf(1)]).toEqual([1, 0])
  })

  // The callers that come next are routed as before: the engine that worked for one that left is not taken for failing.
  // Guards against engines that are ejected because callers leave, which ends the search of others for a sound one.
  it('is not held against its engine when the caller leaves', async () => {
    const engines = await start(1)
    const gone = new AbortController()
    const delivered = engines.deliver(true, 30_000, gone.signal)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    gone.abort()
    await delivered
    expect(engines.observed).toEqual([])
    await vi.waitFor(() => expect(engines.ended).toEqual(['engine-0 failed']), WAIT)
  })

  // The caller is told at its deadline that the request may have run, and the run is ended.
  // Guards against a run that is kept for ever: nobody waits for it after the deadline.
  it('is ended at the deadline', async () => {
    const engines = await start(1)
    const delivered = engines.deliver(true, 2_000)
    await engines.silenceAfter(5)
    await delivered
    expect(engines.last).toMatchObject({ kind: 'error', error: { kind: 'deadline-passed', outcome: 'unknown' } })
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await vi.waitFor(() => expect(engines.ended).toEqual(['engine-0 failed']), WAIT)
    expect(engines.engines[0]?.calls.cancel).toBeGreaterThan(0)
  })
})

describe('a run that its engine has lost', () => {
  // The caller, which has read a part of the answer, sees the whole of it, each word once.
  // Guards against a search for another engine that ends with the first refusal, whatever time the request has.
  it('is begun again once another engine admits it, after refusals', async () => {
    const engines = await start(2)
    engines.admits = async (endpoint) => {
      if (endpoint === 'engine-0' || engines.asked.length > 3) return ok()
      return err(new LimpetwinchError('overloaded', { reason: 'the queue is full' }, { retryAfterSeconds: 1 }))
    }
    const delivered = engines.deliver(true, 30_000)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    engines.engines[0]?.restart()
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.asked).toEqual(['engine-0', 'engine-1', 'engine-1', 'engine-1'])
  })

  // The caller sees its whole answer, later; repeats stay within their share.
  // Guards against an answer cut short because others were repeated at the same moment.
  it('waits until the retry budget pays for another', async () => {
    const engines = await start(2)
    engines.mayRetry = false
    const delivered = engines.deliver(true, 30_000)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    engines.engines[0]?.restart()
    await new Promise((resolve) => setTimeout(resolve, 1_000))
    expect(engines.asked).toEqual(['engine-0'])
    engines.mayRetry = true
    await delivered
    expect(engines.texts.join('')).toBe(WHOLE)
    expect(engines.last?.kind).toBe('end')
  })

  // The caller of a request that may run only once is told `unknown` at once; nothing is asked for it again.
  // Guards against a search that has no end in sight: nobody may go on with this request.
  it('is not waited for when it may run only once', async () => {
    const engines = await start(2)
    const delivered = engines.deliver(false, 30_000)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    engines.engines[0]?.restart()
    await delivered
    expect(engines.last).toMatchObject({ kind: 'error', error: { kind: 'endpoint-failed', outcome: 'unknown' } })
    expect(engines.asked).toEqual(['engine-0'])
  })
})
