/** The seven traces that are generated from a seed. */
import { Random, ZipfRanks } from './random.js'
import { DEFAULT_REQUEST_SHAPE, generateAdapters, generateRequest } from './request-shapes.js'
import type { AdapterName, RequestShape } from './request-shapes.js'
import type { DeploymentSize, Trace, TraceRequest, TraceRestart } from './trace.js'

/** Options of a generated trace. */
export interface TraceOptions {
  readonly seed: number
  readonly size: DeploymentSize
  /** Length of the trace, seconds. */
  readonly seconds: number
}

/** Generates one trace. */
export type TraceGenerator = (options: TraceOptions) => Trace

interface RequestStream {
  readonly random: Random
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly shape: RequestShape
  /** @returns the adapter of a request that arrives at this time */
  readonly pick: (atMilliseconds: number) => AdapterName
}

/** Number of adapters; current deployments have about as many. */
const ADAPTERS = 3_000
const TEAMS = 30
/** Share of each trace that is left out of the percentiles, since all engines start empty; only the trace of cold restarts shows empty engines. */
const WARM_UP_SHARE = 0.25
/** Approximate output tokens that a simulated engine generates per second with a full batch. */
const ENGINE_TOKENS_PER_SECOND = 500

/** A long tail of rarely used adapters that must still answer; 35% of the requests return to one of the last 40 adapters, as a panel does. */
function panelSitting (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'panel sitting')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const ranks = new ZipfRanks(ADAPTERS, 1.05)
  const recent: AdapterName[] = []
  const pick = (): AdapterName => {
    const reuse = recent.length > 0 && random.unit() < 0.35
    const name = reuse ? recent[random.integer(0, recent.length - 1)] : adapters[ranks.draw(random)]
    if (!reuse) recent.push(name as AdapterName)
    if (recent.length > 40) recent.shift()
    return name as AdapterName
  }
  return traceOf('panel sitting', options, generateRequests({ random, seconds: options.seconds, requestsPerSecond: 14, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** Twelve adapters receive 95% of the traffic, at about two thirds of the capacity of the engines. */
function footballNight (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'football night')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const popular = new ZipfRanks(12, 0.8)
  const rare = new ZipfRanks(ADAPTERS - 12, 1.05)
  const pick = (): AdapterName => {
    const rank = random.unit() < 0.95 ? popular.draw(random) : 12 + rare.draw(random)
    return adapters[rank] as AdapterName
  }
  const requestsPerSecond = capacityRequestsPerSecond(options, DEFAULT_REQUEST_SHAPE) * 0.65
  return traceOf('football night', options, generateRequests({ random, seconds: options.seconds, requestsPerSecond, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** All teams call their adapters at the same time, at twice the capacity of the engines. */
function deadlineCrowd (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'deadline crowd')
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
  const requestsPerSecond = capacityRequestsPerSecond(options, DEFAULT_REQUEST_SHAPE) * 2
  const trace = traceOf('deadline crowd', options,
    generateRequests({ random, seconds: options.seconds, requestsPerSecond, shape: DEFAULT_REQUEST_SHAPE, pick }))
  // Every fourth team has a higher weight; the demand of all teams is the same, so it stays backlogged too.
  const weights = new Map(Array.from({ length: teams }, (_, team) => [`team-${team}`, team % 4 === 0 ? 1.5 : 1]))
  return { ...trace, weights }
}

/** The hundred most popular adapters are replaced by unpopular ones within a minute, beginning at a third of the trace. */
function popularityFlip (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'popularity flip')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const ranks = new ZipfRanks(ADAPTERS, 1.2)
  const top = 100
  const order = random.shuffle(Array.from({ length: top }, (_, rank) => rank))
  const beginsAt = options.seconds * 1_000 / 3
  const flipsAt = new Map(order.map((rank, position) => [rank, beginsAt + position / top * 60_000]))
  const pick = (atMilliseconds: number): AdapterName => {
    const rank = ranks.draw(random)
    const flipped = (flipsAt.get(rank) ?? Infinity) <= atMilliseconds
    return adapters[flipped ? ADAPTERS - 1 - rank : rank] as AdapterName
  }
  return traceOf('popularity flip', options, generateRequests({ random, seconds: options.seconds, requestsPerSecond: 14, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** Each team sends half of its share of the capacity, but one sends ten times its share. */
function tenTimesTeam (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'ten times team')
  const teams = 10
  const adapters = generateAdapters(random, teams, teams * 5)
  const byTeam = new Map<string, AdapterName[]>()
  for (const name of adapters) byTeam.set(name.team, [...byTeam.get(name.team) ?? [], name])
  const ranks = new ZipfRanks(5, 0.7)
  const streams = Array.from({ length: teams }, (_, team) => (flood: number) => {
    const own = new Random(options.seed, `ten times team ${team}`)
    const pick = (): AdapterName => byTeam.get(`team-${team}`)?.[ranks.draw(own)] as AdapterName
    const requestsPerSecond = capacityRequestsPerSecond(options, DEFAULT_REQUEST_SHAPE) / teams * (team === 0 ? flood : 0.5)
    return generateRequests({ random: own, seconds: options.seconds, requestsPerSecond, shape: DEFAULT_REQUEST_SHAPE, pick })
  })
  const requestsOf = (flood: number) => streams.flatMap((stream) => stream(flood)).sort((left, right) => left.atMilliseconds - right.atMilliseconds)
  return { ...traceOf('ten times team', options, requestsOf(10)), control: requestsOf(0.5), floodTeam: 'team-0' }
}

/** Three times as many adapters as there are slots, all equally popular. */
function threeTimesSlots (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'three times slots')
  const count = 3 * options.size.engines * options.size.slots
  const adapters = generateAdapters(random, TEAMS, count)
  const pick = (): AdapterName => adapters[random.integer(0, count - 1)] as AdapterName
  const requestsPerSecond = options.size.loadsPerSecond * 2.5
  return traceOf('three times slots', options, generateRequests({ random, seconds: options.seconds, requestsPerSecond, shape: DEFAULT_REQUEST_SHAPE, pick }))
}

/** Each engine in turn restarts with no adapter loaded. */
function coldRestarts (options: TraceOptions): Trace {
  const random = new Random(options.seed, 'cold restarts')
  const adapters = generateAdapters(random, TEAMS, ADAPTERS)
  const ranks = new ZipfRanks(ADAPTERS, 1.3)
  const pick = (): AdapterName => adapters[ranks.draw(random)] as AdapterName
  const trace = traceOf('cold restarts', options,
    generateRequests({ random, seconds: options.seconds, requestsPerSecond: 20, shape: DEFAULT_REQUEST_SHAPE, pick }))
  const each = options.seconds * 1_000 * 0.75 / options.size.engines
  const restarts: TraceRestart[] = Array.from({ length: options.size.engines }, (_, engine) =>
    ({ engine, atMilliseconds: Math.round(options.seconds * 1_000 * 0.2 + engine * each) }))
  return { ...trace, restarts }
}

/** All trace generators in the order of the table. */
export const TRACE_GENERATORS: readonly TraceGenerator[] =
  [panelSitting, footballNight, deadlineCrowd, popularityFlip, tenTimesTeam, threeTimesSlots, coldRestarts]

function traceOf (name: string, options: TraceOptions, requests: readonly TraceRequest[]): Trace {
  return { name, size: options.size, requests, weights: new Map(), restarts: [], measuredFromMilliseconds: options.seconds * 1_000 * WARM_UP_SHARE }
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

/** @returns the approximate number of requests per second that keeps the batches of all engines full */
function capacityRequestsPerSecond (options: TraceOptions, shape: RequestShape): number {
  return options.size.engines * ENGINE_TOKENS_PER_SECOND / shape.meanOutputTokens
}
