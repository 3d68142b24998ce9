// The load: a crowd comes back, request after request, to adapters that were evicted a moment ago, while other engines have idle
// slots. The weight store hands out some thirty adapters a second to all engines; each one that is fetched again for a second
// engine makes a rare adapter wait that lies nowhere. An engine that still caches the adapter loads it in a tenth of the time
// and without the store, once one of its slots is free.
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
import type { RequestFacts } from '../src/relay/request-codec.js'
import { endpoint, engineShape, key, service, LOAD_OWNER } from './support/samples.js'

const NOW = 10_000
const SHAPE = engineShape({ adapterSlots: 2, batchSlots: 64, memoryTokens: 200_000 })
const ENGINES = service('engines', SHAPE)
const WANTED = key('wanted')

/** What one engine has to do. */
interface State {
  /** Whether it held the wanted adapter and evicted it. */
  readonly caches?: boolean
  /** Runs of the wanted adapter there, which the engine holds if there are any. */
  readonly holds?: number
  /** Adapters in use, one slot each. */
  readonly inUse?: number
  /** Adapters on their way. */
  readonly inFlight?: number
  /** Milliseconds that one more load would wait there. */
  readonly waits?: number
  /** Milliseconds between the events of its streams. */
  readonly spacing?: number
  /** Prompt tokens that are still to be read there. */
  readonly toRead?: number
}

function facts (promptTokens: number): RequestFacts {
  return {
    requestId: 'r', caller: undefined, deadlineMilliseconds: 6_000, adapter: { key: WANTED, model: 'base', name: 'wanted' }, promptTokens, outputTokens: 10, promptParts: [], lastEventId: undefined
  }
}

/** @returns a router that believes this of its engines */
function routerFor (states: Readonly<Record<string, State>>): EngineRouter {
  const directory = new EndpointDirectory(silentLogger())
  const locations = new AdapterLocations()
  const board = new EndpointWorkTracker()
  const speeds = new EngineSpeeds()
  const endpoints = Object.keys(states).map((id) => endpoint(id, { service: 'engines' }))
  directory.apply({ revision: 1, endpoints }, undefined, NOW)
  for (const { id } of endpoints) {
    const { caches = false, holds = 0, inUse = 0, inFlight = 0, waits = 0, spacing = 28, toRead = 0 } = states[id] ?? {}
    if (toRead > 0) board.begin(id, { prefillTokens: toRead, memoryTokens: toRead, adapter: key('read') })
    for (let stream = 0; stream < 5; stream += 1) speeds.recordEventSpacing(id, spacing)
    const notice = (sequence: number, held: readonly (readonly [string, number])[], coming: readonly string[]): void => {
      locations.applyNotice(LOAD_OWNER, { kind: 'adapters-held', endpoint: id, born: 100, token: 1 as FencingToken, sequence, held, inFlight: coming, waitMilliseconds: waits }, NOW)
    }
    if (caches) notice(1, [[WANTED, 1]], [])
    notice(2, holds > 0 ? [[WANTED, 1]] : [], Array.from({ length: inFlight }, (_, index) => key(`coming${index}`)))
    for (let used = 0; used < inUse; used += 1) board.begin(id, { prefillTokens: 0, memoryTokens: 1_000, adapter: key(`used${used}`) })
    for (let run = 0; run < holds; run += 1) board.begin(id, { prefillTokens: 0, memoryTokens: 1_000, adapter: WANTED })
  }
  const ejection = new OutlierEjection({ failuresToEject: 2, ejectionMilliseconds: 1_500, longestEjectionMilliseconds: 10_000, recoveryMilliseconds: 4_000, minimumUsableShare: 0.25 })
  return new EngineRouter({
    directory, locations, workTracker: board, ejection, forecast: new FirstEventForecast(speeds), speeds, prefixes: new PrefixCacheEstimate(), dataCentre: 'here', leastVersion: () => 0, loadMilliseconds: () => 270, hasLoadOwner: () => true
  })
}

function question (promptTokens = 100): EngineQuery {
  return { service: ENGINES, facts: facts(promptTokens), gapMilliseconds: 400, excluded: new Set() }
}

/** @returns the engine that should load the wanted adapter */
function loads (states: Readonly<Record<string, State>>, promptTokens = 100): EndpointId | undefined {
  return routerFor(states).chooseForLoad(question(promptTokens), () => 0, NOW)?.endpoint.id
}

/** @returns the engine that should get a further copy of the wanted adapter */
function copies (states: Readonly<Record<string, State>>): EndpointId | undefined {
  const router = routerFor(states)
  const best = router.choose(question(), NOW)
  return best === undefined ? undefined : router.chooseForCopy(question(), best, NOW)?.endpoint.id
}

describe('an adapter that lies nowhere', () => {
  it('is loaded where it is cached, rather than fetched for an engine with nothing to do', () => {
    expect(loads({ cached: { caches: true, inUse: 1 }, idle: {} })).toBe('cached')
  })

  it('waits for the next slot of the engine that caches it', () => {
    expect(loads({ cached: { caches: true, inUse: 2 }, idle: {} })).toBe('cached')
    expect(loads({ cached: { caches: true, inUse: 1, inFlight: 1 }, idle: {} })).toBe('cached')
  })

  it('is fetched for another engine when that one has more waiting than it soon has slots', () => {
    expect(loads({ cached: { caches: true, inUse: 2, inFlight: 2 }, idle: {} })).toBe('idle')
  })

  it('is fetched for the engine with an idle slot where none caches it', () => {
    expect(loads({ busy: { inUse: 2 }, idle: {} })).toBe('idle')
  })
})

// While an engine reads a long prompt all its streams stand still. One that is a third slower than its peers stands still for
// longer than callers bear, and each of its streams is late: the long prompt takes from all of them at once.
describe('a long prompt', () => {
  const slow = { spacing: 37, inUse: 8 }

  it('goes to an engine that reads it within the pause that the streams there bear, even if its load waits longer', () => {
    expect(loads({ slow: { ...slow, caches: true }, other: { inUse: 8 } }, 11_000)).toBe('other')
  })

  // Two prompts that are read one after the other make one pause: each alone would have done no harm.
  it('keeps away from streams on an engine that has another one to read', () => {
    expect(loads({ reading: { inUse: 8, toRead: 9_000, caches: true }, other: { inUse: 8 } }, 5_000)).toBe('other')
    expect(loads({ reading: { inUse: 8, toRead: 9_000, caches: true }, other: { inUse: 8 } }, 500)).toBe('reading')
  })

  it('goes by the load alone when it is short, or when nothing runs there', () => {
    expect(loads({ slow: { ...slow, caches: true }, other: { inUse: 8 } }, 500)).toBe('slow')
    expect(loads({ slow: { spacing: 37, caches: true }, other: {} }, 11_000)).toBe('slow')
  })
})

// In a crowd more requests are refused than the lines can take. One that comes back at once finds the same lines.
describe('a request that found no engine', () => {
  it('is told to come back when a load asked for then could be there, by the shortest line', () => {
    expect([routerFor({ one: { waits: 900 }, two: { waits: 700 } }), routerFor({ one: {} })].map((router) => router.shortestWait(ENGINES, NOW))).toEqual([970, 270])
  })

  it('knows no such time where nobody orders loads', () => {
    expect(routerFor({}).shortestWait(ENGINES, NOW)).toBe(Infinity)
  })
})

// A few popular adapters have gathered most requests on the engine that came first to hold them, while others run a few.
// Every stream there takes longer, and holds its slot for longer, though no first event is late yet.
describe('a popular adapter', () => {
  it('gets a copy off a crowded engine, on one that has less than the mean to do', () => {
    expect(copies({ crowded: { holds: 20, inUse: 10 }, calm: { inUse: 4 }, other: { inUse: 18 } })).toBe('calm')
  })

  it('gets none where all engines have as much to do, where few run, or where it is not what crowds the engine', () => {
    expect(copies({ one: { holds: 20, inUse: 10 }, two: { inUse: 28 }, three: { inUse: 28 } })).toBeUndefined()
    expect(copies({ one: { holds: 5 }, two: {}, three: {} })).toBeUndefined()
    expect(copies({ crowded: { holds: 1, inUse: 29 }, calm: { inUse: 4 }, other: { inUse: 18 } })).toBeUndefined()
  })

  it('is served where less runs, of two engines that hold it', () => {
    expect(routerFor({ busy: { holds: 30 }, calm: { holds: 3 } }).choose(question(), NOW)?.endpoint.id).toBe('calm')
  })
})
