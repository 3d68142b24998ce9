/** The seven traces made by seed. */
import { Random, ZipfRanks } from './random.js'
import { DEFAULT_REQUEST_SHAPE, generateAdapters, generateRequest } from './request-shapes.js'
import type { AdapterName, RequestShape } from './request-shapes.js'
import type { DeploymentSize, Trace, TraceRequest, TraceRestart } from './trace.js'

/** How a trace is to be made. */
export interface TraceOptions {
  readonly seed: number
  readonly size: DeploymentSize
  /** Length of the trace, seconds. */
  readonly seconds: number
}

/** Makes one trace. */
export type TraceGenerator = (making: TraceOptions) => Trace

interface RequestStream {
  readonly random: Random
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly shape: RequestShape
  /** @returns the adapter of a request that comes at this time */
  readonly pick: (atMilliseconds: number) => AdapterName
}

/** Today's deployments have about this many. */
const ADAPTERS = 3_000
const TEAMS = 30
/** All engines begin empty; only the cold restarts are to show that, so the first part of each trace is not measured. */
const WARM_UP_SHARE = 0.25
/** Generated tokens that one engine of the simulation makes in a second at a full batch, about. */
const ENGINE_TOKENS_PER_SECOND = 500

/** A long tail: rare adapters of athletes and meetings must answer, and a panel comes back to what it has just used. */
function panelSitting (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'panel sitting')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const ranks = new ZipfRanks(ADAPTERS, 1.05)
  const recent: AdapterName[] = []
  const pick = (): AdapterName => {
    const again = recent.length > 0 && random.unit() < 0.35
    const name = again ? recent[random.integer(0, recent.length - 1)] : adapters[ranks.draw(random)]
    if (!again) recent.push(name as AdapterName)
    if (recent.length > 40) recent.shift()
    return name as AdapterName
  }
  return traceOf('panel sitting', making, generateRequests({ random, seconds: making.seconds, requestsPerSecond: 14, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** A few adapters carry most of the traffic, at two thirds of what the engines can generate. */
function footballNight (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'football night')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const popular = new ZipfRanks(12, 0.8)
  const rare = new ZipfRanks(ADAPTERS - 12, 1.05)
  const pick = (): AdapterName => {
    const rank = random.unit() < 0.95 ? popular.draw(random) : 12 + rare.draw(random)
    return adapters[rank] as AdapterName
  }
  const perSecond = capacityRequestsPerSecond(making, DEFAULT_REQUEST_SHAPE) * 0.65
  return traceOf('football night', making, generateRequests({ random, seconds: making.seconds, requestsPerSecond: perSecond, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** Every team calls its adapters at once, at twice what the engines can generate. */
function deadlineCrowd (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'deadline crowd')
  const teams = 20
  const each = 4
  const adapters = generateAdapters(random, teams, teams * each)
  const byTeam = new Map<string, AdapterName[]>()
  for (const name of adapters) byTeam.set(name.team, [...byTeam.get(name.team) ?? [], name])
  const ranks = new ZipfRanks(each, 0.7)
  const pick = (): AdapterName => {
    const own = byTeam.get(`team-${random.integer(0, teams - 1)}`) ?? []
    return own[ranks.draw(random)] as AdapterName
  }
  const perSecond = capacityRequestsPerSecond(making, DEFAULT_REQUEST_SHAPE) * 2
  const trace = traceOf('deadline crowd', making, generateRequests({ random, seconds: making.seconds, requestsPerSecond: perSecond, shape: DEFAULT_REQUEST_SHAPE, pick }))
  // Every fourth team has more weight; with the same demand it stays backlogged too.
  const weights = new Map(Array.from({ length: teams }, (_, team) => [`team-${team}`, team % 4 === 0 ? 1.5 : 1]))
  return { ...trace, weights }
}

/** The top hundred changes within a minute in the middle of the trace. */
function popularityFlip (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'popularity flip')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const ranks = new ZipfRanks(ADAPTERS, 1.2)
  const top = 100
  const order = random.shuffle(Array.from({ length: top }, (_, rank) => rank))
  const begins = making.seconds * 1_000 / 3
  const flipsAt = new Map(order.map((rank, place) => [rank, begins + place / top * 60_000]))
  const pick = (atMilliseconds: number): AdapterName => {
    const rank = ranks.draw(random)
    const flipped = (flipsAt.get(rank) ?? Infinity) <= atMilliseconds
    return adapters[flipped ? ADAPTERS - 1 - rank : rank] as AdapterName
  }
  return traceOf('popularity flip', making, generateRequests({ random, seconds: making.seconds, requestsPerSecond: 14, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** All teams stay at half of the capacity, but one sends ten times its share. */
function tenTimesTeam (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'ten times team')
  const teams = 10
  const adapters = generateAdapters(random, teams, teams * 5)
  const byTeam = new Map<string, AdapterName[]>()
  for (const name of adapters) byTeam.set(name.team, [...byTeam.get(name.team) ?? [], name])
  const ranks = new ZipfRanks(5, 0.7)
  const streams = Array.from({ length: teams }, (_, team) => (flood: number) => {
    const own = new Random(making.seed, `ten times team ${team}`)
    const pick = (): AdapterName => byTeam.get(`team-${team}`)?.[ranks.draw(own)] as AdapterName
    const perSecond = capacityRequestsPerSecond(making, DEFAULT_REQUEST_SHAPE) / teams * (team === 0 ? flood : 0.5)
    return generateRequests({ random: own, seconds: making.seconds, requestsPerSecond: perSecond, shape: DEFAULT_REQUEST_SHAPE, pick })
  })
  const whole = (flood: number) => streams.flatMap((stream) => stream(flood)).sort((left, right) => left.atMilliseconds - right.atMilliseconds)
  return { ...traceOf('ten times team', making, whole(10)), control: whole(0.5), floodTeam: 'team-0' }
}

/** Three times as many adapters as there are slots, all equally popular. */
function threeTimesSlots (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'three times slots')
  const count = 3 * making.size.engines * making.size.slots
  const adapters = generateAdapters(random, TEAMS, count)
  const pick = (): AdapterName => adapters[random.integer(0, count - 1)] as AdapterName
  const perSecond = making.size.loadsPerSecond * 2.5
  return traceOf('three times slots', making, generateRequests({ random, seconds: making.seconds, requestsPerSecond: perSecond, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** Each engine in turn restarts with nothing loaded. */
function coldRestarts (making: TraceOptions): Trace {
  const random = new Random(making.seed, 'cold restarts')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const ranks = new ZipfRanks(ADAPTERS, 1.3)
  const pick = (): AdapterName => adapters[ranks.draw(random)] as AdapterName
  const trace = traceOf('cold restarts', making, generateRequests({ random, seconds: making.seconds, requestsPerSecond: 20, shape: DEFAULT_REQUEST_SHAPE, pick }))
  const each = making.seconds * 1_000 * 0.75 / making.size.engines
  const restarts: TraceRestart[] = Array.from({ length: making.size.engines }, (_, engine) =>
    ({ engine, atMilliseconds: Math.round(making.seconds * 1_000 * 0.2 + engine * each) }))
  return { ...trace, restarts }
}

/** All makers, in the order of the table. */
export const TRACE_GENERATORS: readonly TraceGenerator[] =
  [panelSitting, footballNight, deadlineCrowd, popularityFlip, tenTimesTeam, threeTimesSlots, coldRestarts]

function traceOf (name: string, making: TraceOptions, requests: readonly TraceRequest[]): Trace {
  return { name, size: making.size, requests, weights: new Map(), restarts: [], measuredFromMilliseconds: making.seconds * 1_000 * WARM_UP_SHARE }
}

function generateRequests (stream: RequestStream): TraceRequest[] {
  const requests: TraceRequest[] = []
  let at = stream.random.exponential(1_000 / stream.requestsPerSecond)
  while (at < stream.seconds * 1_000) {
    requests.push(generateRequest(stream.random, at, stream.pick(at), stream.shape))
    at += stream.random.exponential(1_000 / stream.requestsPerSecond)
  }
  return requests
}

/** @returns requests a second that keep all engines' batches full, about */
function capacityRequestsPerSecond (making: TraceOptions, shape: RequestShape): number {
  return making.size.engines * ENGINE_TOKENS_PER_SECOND / shape.meanOutputTokens
}
