// Guards against needless loads from the weight store. It happens when many requests return to adapters that were evicted a moment ago
// while other engines have idle slots. The weight store delivers some thirty adapters a second to all engines together, so fetching an
// adapter again for a second engine delays the load of an adapter that no engine holds. An engine that has still cached the adapter loads
// it in a tenth of the time and without the store, once one of its slots is free.
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, FencingToken } from '@limpetwinch/core'
import { EngineSpeeds, OutlierEjection } from '@limpetwinch/decisions'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import { EngineRouter } from '../src/routing/engine-router.js'
import type { EngineQuery } from '../src/routing/engine-router.js'
import { FirstEventForecast } from '../src/routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { PrefixCacheEstimate } from '../src/routing/prefix-cache-estimate.js'
import type { AdapterKey, Endpoint, ModelName } from '../src/routes/configuration.js'
import type { RequestFacts } from '../src/relay/request-codec.js'
import { endpoint, engineShape, key, service, LOAD_OWNER, NO_BACKOFFS, SOFTWARE_VERSION } from './support/samples.js'

const NOW = 10_000
const SHAPE = engineShape({ adapterSlots: 2, batchSlots: 64, memoryTokens: 200_000 })
const ENGINES = service('engines', SHAPE)
const REQUESTED = key('wanted')

/** State of one engine. */
interface State {
  /** Whether it has cached the requested adapter, having held and evicted it. */
  readonly caches?: boolean
  /** Number of running requests for the requested adapter; the engine holds the adapter if there are any. */
  readonly holds?: number
  /** Number of other adapters in use, one slot each. */
  readonly inUse?: number
  /** Number of loads in progress. */
  readonly inFlight?: number
  /** Milliseconds that one more load would wait in the load queue. */
  readonly waits?: number
  /** Milliseconds between the events of its streams. */
  readonly spacing?: number
  /** Prompt tokens that are still to be read. */
  readonly toRead?: number
}

function facts (promptTokens: number): RequestFacts {
  return {
    requestId: 'r', caller: undefined, deadlineMilliseconds: 6_000, adapter: { key: REQUESTED, model: 'base', name: 'wanted' }, promptTokens, outputTokens: 10, key: undefined, tokens: 'stated', promptParts: [], lastEventId: undefined, firstAttempt: undefined
  }
}

/** @returns a router with engines in these states */
function routerFor (states: Readonly<Record<string, State>>, models: Readonly<Record<string, readonly string[]>> = {}, isNamed = (_: Endpoint): boolean => true): EngineRouter {
  const directory = new EndpointDirectory(silentLogger())
  const locations = new AdapterLocations()
  const workTracker = new EndpointWorkTracker()
  const speeds = new EngineSpeeds()
  const endpoints = Object.keys(states).map((id) => endpoint(id, { service: 'engines', models: models[id] ?? ['base'] }))
  directory.apply({ revision: 1, endpoints }, undefined, NOW)
  for (const { id } of endpoints) {
    const { caches = false, holds = 0, inUse = 0, inFlight = 0, waits = 0, spacing = 28, toRead = 0 } = states[id] ?? {}
    if (toRead > 0) workTracker.begin(id, { prefillTokens: toRead, memoryTokens: toRead, adapter: key('read') })
    for (let stream = 0; stream < 5; stream += 1) speeds.recordEventSpacing(id, spacing)
    const notice = (sequence: number, held: readonly (readonly [string, number])[], coming: readonly string[]): void => {
      locations.applyNotice(LOAD_OWNER, { kind: 'adapters-held', endpoint: id, born: 100, token: 1 as FencingToken, sequence, held, inFlight: coming, waitMilliseconds: waits }, NOW)
    }
    if (caches) notice(1, [[REQUESTED, 1]], [])
    notice(2, holds > 0 ? [[REQUESTED, 1]] : [], Array.from({ length: inFlight }, (_, index) => key(`coming${index}`)))
    for (let used = 0; used < inUse; used += 1) workTracker.begin(id, { prefillTokens: 0, memoryTokens: 1_000, adapter: key(`used${used}`) })
    for (let run = 0; run < holds; run += 1) workTracker.begin(id, { prefillTokens: 0, memoryTokens: 1_000, adapter: REQUESTED })
  }
  const ejection = new OutlierEjection({ failuresToEject: 2, ejectionMilliseconds: 1_500, longestEjectionMilliseconds: 10_000, recoveryMilliseconds: 4_000, minimumUsableShare: 0.25 })
  return new EngineRouter({
    directory, locations, workTracker, ejection, forecast: new FirstEventForecast(speeds), speeds, prefixes: new PrefixCacheEstimate(), backoffs: NO_BACKOFFS, dataCentre: 'here', leastVersion: () => 0, mayBegin: () => true, loadMilliseconds: () => 270, hasLoadOwner: () => true, isNamed
  })
}

function query (promptTokens = 100): EngineQuery {
  return { service: ENGINES, facts: facts(promptTokens), gapMilliseconds: 400, excluded: new Set() }
}

/** @returns the engine that should load the requested adapter */
function engineForLoad (states: Readonly<Record<string, State>>, promptTokens = 100): EndpointId | undefined {
  return routerFor(states).chooseForLoad(query(promptTokens), () => 0, NOW)?.endpoint.id
}

/** @returns the engine that should load a further copy of the requested adapter */
function engineForCopy (states: Readonly<Record<string, State>>): EndpointId | undefined {
  const router = routerFor(states)
  const best = router.choose(query(), NOW)
  return best === undefined ? undefined : router.chooseForCopy(query(), best, new Set(), NOW)?.endpoint.id
}

describe('an adapter that no engine holds', () => {
  it('is loaded by the engine that has cached it, rather than fetched for an idle engine', () => {
    expect(engineForLoad({ cached: { caches: true, inUse: 1 }, idle: {} })).toBe('cached')
  })

  it('waits for the next free slot of the engine that has cached it', () => {
    expect(engineForLoad({ cached: { caches: true, inUse: 2 }, idle: {} })).toBe('cached')
    expect(engineForLoad({ cached: { caches: true, inUse: 1, inFlight: 1 }, idle: {} })).toBe('cached')
  })

  it('is fetched for another engine when the engine that has cached it has more pending loads than slots that soon become free', () => {
    expect(engineForLoad({ cached: { caches: true, inUse: 2, inFlight: 2 }, idle: {} })).toBe('idle')
  })

  it('is fetched for the engine with an idle slot when no engine has cached it', () => {
    expect(engineForLoad({ busy: { inUse: 2 }, idle: {} })).toBe('idle')
  })
})

// Guards against loads that are asked of an engine whose memory is full of models: its load owner would order none of them, or crash it.
describe('an engine without memory for a single adapter', () => {
  const other = { name: 'other' as ModelName, megabytes: 495, adapters: 1, adapterMegabytes: 1 }
  const full = { ...query(), service: service('engines', { ...SHAPE, models: [...SHAPE.models, other] }) }
  const models = { full: ['base', 'other'] }

  it('is not asked for a load, whether another one has room or not', () => {
    const engineFor = (states: Readonly<Record<string, State>>): EndpointId | undefined => routerFor(states, models).chooseForLoad(full, () => 0, NOW)?.endpoint.id
    expect([engineFor({ full: {}, busy: { inUse: 2 } }), engineFor({ full: {} })]).toEqual(['busy', undefined])
  })
})

// Guards against a long prompt that makes all streams of an engine late: they pause while the engine reads the prompt, and on an engine
// that is a third slower than its peers the pause is longer than callers accept.
describe('a long prompt', () => {
  const slow = { spacing: 37, inUse: 8 }

  it('goes to an engine that reads it within the accepted pause of its streams, even if the load takes longer there', () => {
    expect(engineForLoad({ slow: { ...slow, caches: true }, other: { inUse: 8 } }, 11_000)).toBe('other')
  })

  // Guards against two prompts that are read one after the other: the pauses add up, although each alone would be accepted.
  it('avoids the streams of an engine that has another prompt to read', () => {
    expect(engineForLoad({ reading: { inUse: 8, toRead: 9_000, caches: true }, other: { inUse: 8 } }, 5_000)).toBe('other')
    expect(engineForLoad({ reading: { inUse: 8, toRead: 9_000, caches: true }, other: { inUse: 8 } }, 500)).toBe('reading')
  })

  it('goes to the engine with the fastest load when the prompt is short, or when no stream runs on the engine', () => {
    expect(engineForLoad({ slow: { ...slow, caches: true }, other: { inUse: 8 } }, 500)).toBe('slow')
    expect(engineForLoad({ slow: { spacing: 37, caches: true }, other: {} }, 11_000)).toBe('slow')
  })
})

// Guards against short streams that pause for longer than their callers accept, because the engine they are sent to has long prompts to read.
describe('a short prompt', () => {
  it('goes to an engine with more streams rather than to one whose long prompts take as long to read as its caller accepts', () => {
    expect(routerFor({ reading: { holds: 1, toRead: 13_000 }, busy: { holds: 50, toRead: 9_000 } }).choose(query(), NOW)?.endpoint.id).toBe('busy')
  })
})

// Guards against callers that retry at once and find the same full load queues: under overload more requests are refused than the queues accept.
describe('a request that found no engine', () => {
  it('is told to retry when a load that is requested now could be complete, by the shortest load queue', () => {
    expect([routerFor({ one: { waits: 900 }, two: { waits: 700 } }), routerFor({ one: {} })].map((router) => router.shortestWait(ENGINES, NOW))).toEqual([970, 270])
  })

  it('has no such time when no engine has a load owner', () => {
    expect(routerFor({}).shortestWait(ENGINES, NOW)).toBe(Infinity)
  })
})

// Guards against a crowded engine beside engines with capacity. It happens when a few popular adapters gather most requests on the engine
// that held them first: every stream there takes longer and holds its slot for longer, although no first event is late yet.
describe('a popular adapter', () => {
  it('gets a copy besides that on a crowded engine, on an engine with fewer requests than the mean', () => {
    expect(engineForCopy({ crowded: { holds: 20, inUse: 10 }, calm: { inUse: 4 }, other: { inUse: 18 } })).toBe('calm')
  })

  it('gets no copy when all engines are equally loaded, when few requests run, or when it does not cause the crowding', () => {
    expect(engineForCopy({ one: { holds: 20, inUse: 10 }, two: { inUse: 28 }, three: { inUse: 28 } })).toBeUndefined()
    expect(engineForCopy({ one: { holds: 5 }, two: {}, three: {} })).toBeUndefined()
    expect(engineForCopy({ crowded: { holds: 1, inUse: 29 }, calm: { inUse: 4 }, other: { inUse: 18 } })).toBeUndefined()
  })

  it('is served by the less loaded of two engines that hold it', () => {
    expect(routerFor({ busy: { holds: 30 }, calm: { holds: 3 } }).choose(query(), NOW)?.endpoint.id).toBe('calm')
  })
})

// Guards against streams that go on at another software version after all instances were killed: a stream of a base model waits for no load, so it
// began at engines whose version nothing in the store named.
describe('an engine whose version the store does not name', () => {
  const router = routerFor({ unnamed: { holds: 1 }, named: { holds: 1, inUse: 2 } }, {}, ({ id }) => id === 'named')
  const base: RequestFacts['adapter'] = { key: 'base' as AdapterKey, model: 'base', name: undefined }
  const chosen = (sample: Partial<EngineQuery>): EndpointId | undefined => router.choose({ ...query(), ...sample }, NOW)?.endpoint.id

  it('begins no stream that may be resumed, and continues one', () => {
    for (const each of [facts(100), { ...facts(100), adapter: base }]) {
      expect([chosen({ facts: each, resumable: true }), chosen({ facts: each, resumable: true, softwareVersion: SOFTWARE_VERSION })]).toEqual(['named', 'unnamed'])
    }
  })

  it('begins streams that are not resumed', () => {
    expect(chosen({})).toBe('unnamed')
  })
})
