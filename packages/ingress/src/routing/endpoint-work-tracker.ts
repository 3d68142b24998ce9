/**
 * Tracks the outstanding work on each endpoint. The work of this instance is exact; that of the other instances (peers) is taken from their
 * latest reports, which are some hundred milliseconds old.
 */
import type { EndpointId, InstanceId, RelayedLoad } from '@limpetwinch/core'
import type { AdapterKey } from '../routes/configuration.js'

/** Age at which the report of a peer expires, so that the work of an unresponsive peer does not count for ever. */
const PEER_REPORT_MILLISECONDS = 5_000

/** Least number of prompt tokens that count as unread until the first event of a stream, so that a stream whose prompt is cached counts as one that waits. */
const LEAST_PREFILL_TOKENS = 1
/** Prompt tokens from which the reading of a prompt takes long enough to change where other requests should go. */
const LONG_PROMPT_TOKENS = 2_000

/** Requests that an endpoint has received and not finished yet, and the capacity that they need. */
export interface OutstandingWork {
  readonly requests: number
  /** Prompt tokens that are still to be read. */
  readonly prefillTokens: number
  /** Memory used by prompts and output, tokens. */
  readonly memoryTokens: number
}

/** Work that one request adds to an endpoint. */
export interface RequestWork {
  readonly prefillTokens: number
  readonly memoryTokens: number
  readonly adapter: AdapterKey | undefined
}

/** Work of this instance on one endpoint. */
interface OwnWork {
  requests: number
  prefillTokens: number
  memoryTokens: number
  /** Number of running requests by adapter. */
  readonly running: Map<AdapterKey, number>
  /** Number of requests sent since the last digest, by adapter. */
  readonly sent: Map<AdapterKey, number>
}

/** The latest report of one peer about one endpoint. */
interface ReportedLoad {
  readonly load: RelayedLoad
  /** Monotonic time at which this instance received it. */
  readonly receivedAt: number
}

/** The latest report of one peer. */
interface PeerReport {
  /** Monotonic time at which this instance received the report. */
  readonly receivedAt: number
  readonly loads: Map<EndpointId, ReportedLoad>
}

/** Total work of all peers on one endpoint. */
interface PeerTotals {
  requests: number
  /** Prompt tokens as reported. */
  prefillTokens: number
  /** Sum of the reported prompt tokens, each multiplied by the time at which its report was received. */
  prefillTokenTimes: number
  memoryTokens: number
  /** Number of running requests by adapter. */
  readonly running: Map<string, number>
}

/** Handle with which a relay reports the progress and the end of one request on an endpoint. */
export interface WorkTicket {
  /** To be called when the first event has arrived, which shows that the endpoint has read the prompt. */
  prefilled: () => void
  /** To be called when the request no longer runs on the endpoint. */
  ended: () => void
}

/** Counts the outstanding work of this instance and of its peers, by endpoint. */
export class EndpointWorkTracker {
  private readonly own = new Map<EndpointId, OwnWork>()
  /** The latest report of each peer, the oldest report first. */
  private readonly peers = new Map<InstanceId, PeerReport>()
  /**
   * Sums over the reports of all peers. They are updated with each report instead of computed for each query: a router queries every engine at
   * each request, and there may be hundreds of peers.
   */
  private readonly peerTotals = new Map<EndpointId, PeerTotals>()
  private readonly releaseListeners: ((endpoint: EndpointId) => void)[] = []
  private readonly useListeners: ((endpoint: EndpointId, key: AdapterKey, uses: number) => void)[] = []
  private readonly longPromptListeners: ((endpoint: EndpointId) => void)[] = []
  private readonly prefillRateOf: (endpoint: EndpointId) => number | undefined

  /** @param prefillRateOf - returns how many prompt tokens an engine reads per millisecond; undefined for other endpoints */
  constructor (prefillRateOf: (endpoint: EndpointId) => number | undefined = () => undefined) {
    this.prefillRateOf = prefillRateOf
  }

  /** Calls the listener when this instance has sent a long prompt to an engine, of which peers should know before the next digest. */
  onLongPrompt (listener: (endpoint: EndpointId) => void): void {
    this.longPromptListeners.push(listener)
  }

  /** Calls the listener when requests that use an adapter are sent to an endpoint, by this instance or, as reported, by peers; `uses` is their number. */
  onUse (listener: (endpoint: EndpointId, key: AdapterKey, uses: number) => void): void {
    this.useListeners.push(listener)
  }

  /** Adds the work of a request that is sent to an endpoint. */
  begin (endpoint: EndpointId, work: RequestWork): WorkTicket {
    const own = this.ownWork(endpoint)
    const prefillTokens = work.adapter === undefined ? work.prefillTokens : Math.max(LEAST_PREFILL_TOKENS, work.prefillTokens)
    own.requests += 1
    own.prefillTokens += prefillTokens
    own.memoryTokens += work.memoryTokens
    if (work.adapter !== undefined) {
      own.running.set(work.adapter, (own.running.get(work.adapter) ?? 0) + 1)
      own.sent.set(work.adapter, (own.sent.get(work.adapter) ?? 0) + 1)
      for (const listener of this.useListeners) listener(endpoint, work.adapter, 1)
    }
    if (work.prefillTokens >= LONG_PROMPT_TOKENS) for (const listener of this.longPromptListeners) listener(endpoint)
    let isReading = true
    let isRunning = true
    const prefilled = (): void => {
      if (!isReading) return
      isReading = false
      own.prefillTokens -= prefillTokens
    }
    const ended = (): void => {
      if (!isRunning) return
      isRunning = false
      prefilled()
      own.requests -= 1
      own.memoryTokens -= work.memoryTokens
      if (work.adapter === undefined) return
      decrement(own.running, work.adapter)
      if (!own.running.has(work.adapter)) for (const listener of this.releaseListeners) listener(endpoint)
    }
    return { prefilled, ended }
  }

  /** @returns the outstanding work of all instances on an endpoint */
  outstanding (endpoint: EndpointId, now: number): OutstandingWork {
    this.dropExpiredReports(now)
    const own = this.own.get(endpoint)
    const peers = this.peerTotals.get(endpoint)
    return {
      requests: (own?.requests ?? 0) + (peers?.requests ?? 0),
      prefillTokens: (own?.prefillTokens ?? 0) + (peers === undefined ? 0 : this.unreadTokens(endpoint, peers, now)),
      memoryTokens: (own?.memoryTokens ?? 0) + (peers?.memoryTokens ?? 0)
    }
  }

  /** @returns whether an engine has not sent the first event of some request of any instance, as far as their reports say */
  hasWaitingRequests (endpoint: EndpointId, now: number): boolean {
    this.dropExpiredReports(now)
    return (this.own.get(endpoint)?.prefillTokens ?? 0) > 0 || (this.peerTotals.get(endpoint)?.prefillTokens ?? 0) > 0
  }

  /** @returns number of requests of this instance that use the adapter on the endpoint now */
  ownRunning (endpoint: EndpointId, key: AdapterKey): number {
    return this.own.get(endpoint)?.running.get(key) ?? 0
  }

  /** @returns number of requests of all instances that use the adapter on the endpoint now */
  running (endpoint: EndpointId, key: AdapterKey, now: number): number {
    this.dropExpiredReports(now)
    return (this.own.get(endpoint)?.running.get(key) ?? 0) + (this.peerTotals.get(endpoint)?.running.get(key) ?? 0)
  }

  /** @returns the age of the oldest report of a peer that counts, milliseconds; 0 without reports */
  oldestReportMilliseconds (now: number): number {
    this.dropExpiredReports(now)
    const [oldest] = this.peers.values()
    return oldest === undefined ? 0 : now - oldest.receivedAt
  }

  /** @returns the number of adapters that requests of any instance use on the endpoint now */
  adaptersInUse (endpoint: EndpointId, now: number): number {
    this.dropExpiredReports(now)
    const own = this.own.get(endpoint)?.running
    const peers = this.peerTotals.get(endpoint)?.running
    let count = peers?.size ?? 0
    for (const key of own?.keys() ?? []) if (peers?.has(key) !== true) count += 1
    return count
  }

  /** Replaces the previous report of a peer by a newer report. */
  applyPeerReport (from: InstanceId, loads: readonly RelayedLoad[], now: number): void {
    this.forgetPeer(from)
    const report = { receivedAt: now, loads: new Map<EndpointId, ReportedLoad>() }
    this.peers.set(from, report)
    for (const load of loads) this.setReported(report, load, now)
    for (const load of loads) {
      for (const [key, , sent] of load.adapters) {
        if (sent > 0) for (const listener of this.useListeners) listener(load.endpoint, key as AdapterKey, sent)
      }
    }
  }

  /**
   * Updates the latest report of a peer by its present totals on one endpoint. The adapters in use there remain as reported, and the report
   * expires as before: the peer has confirmed nothing about other endpoints.
   */
  applyPeerChange (from: InstanceId, { endpoint, requests, prefillTokens, memoryTokens }: Omit<RelayedLoad, 'adapters'>, now: number): void {
    const report = this.peers.get(from) ?? { receivedAt: now, loads: new Map<EndpointId, ReportedLoad>() }
    if (!this.peers.has(from)) this.peers.set(from, report)
    const adapters = report.loads.get(endpoint)?.load.adapters ?? []
    this.setReported(report, { endpoint, requests, prefillTokens, memoryTokens, adapters }, now)
  }

  /** Removes the report of a peer that has left. */
  forgetPeer (instance: InstanceId): void {
    for (const reported of this.peers.get(instance)?.loads.values() ?? []) this.addToTotals(reported, -1)
    this.peers.delete(instance)
  }

  /** Calls the listener when the last request of this instance for an adapter has ended on an endpoint, so that the slot of the adapter may be free. */
  onReleased (listener: (endpoint: EndpointId) => void): void {
    this.releaseListeners.push(listener)
  }

  /** @returns the current work of this instance, for one peer; requests sent since the last digest remain for the next digest for all peers */
  present (): RelayedLoad[] {
    return [...this.own].filter(([, own]) => own.requests > 0).map(([endpoint, own]) => ({
      ...ownTotals(endpoint, own), adapters: [...own.running].map(([key, running]): [string, number, number] => [key, running, 0])
    }))
  }

  /** @returns the current totals of this instance on one endpoint */
  presentTotals (endpoint: EndpointId): Omit<RelayedLoad, 'adapters'> {
    return ownTotals(endpoint, this.ownWork(endpoint))
  }

  /** @returns the current work of this instance, for all peers; the requests sent since the last digest are reset, so each one is reported once */
  digest (): RelayedLoad[] {
    const loads: RelayedLoad[] = []
    for (const [endpoint, own] of this.own) {
      if (own.requests === 0 && own.sent.size === 0) continue
      const keys = new Set([...own.running.keys(), ...own.sent.keys()])
      const adapters = [...keys].map((key): [string, number, number] => [key, own.running.get(key) ?? 0, own.sent.get(key) ?? 0])
      own.sent.clear()
      loads.push({ ...ownTotals(endpoint, own), adapters })
    }
    return loads
  }

  /** Removes expired reports. Reports are kept in the order of their arrival, so the search ends at the first report that has not expired. */
  private dropExpiredReports (now: number): void {
    for (const [instance, { receivedAt }] of this.peers) {
      if (now - receivedAt < PEER_REPORT_MILLISECONDS) return
      this.forgetPeer(instance)
    }
  }

  /**
   * Estimates how many of the reported prompt tokens of the peers are still unread. Reports are older than most prompts take to be read, and
   * an engine would count as occupied until the next report of each peer.
   */
  private unreadTokens (endpoint: EndpointId, { prefillTokens, prefillTokenTimes }: PeerTotals, now: number): number {
    const rate = prefillTokens > 0 ? this.prefillRateOf(endpoint) : undefined
    if (rate === undefined) return prefillTokens
    const meanAge = now - prefillTokenTimes / prefillTokens
    return Math.max(0, Math.min(prefillTokens, prefillTokens - rate * meanAge))
  }

  private setReported (report: PeerReport, load: RelayedLoad, now: number): void {
    const before = report.loads.get(load.endpoint)
    if (before !== undefined) this.addToTotals(before, -1)
    const reported = { load, receivedAt: now }
    report.loads.set(load.endpoint, reported)
    this.addToTotals(reported, 1)
  }

  /** Adds or subtracts the work of one peer on one endpoint. @param sign - 1 to add, -1 to subtract */
  private addToTotals ({ load, receivedAt }: ReportedLoad, sign: 1 | -1): void {
    const peerTotals = this.peerTotals.get(load.endpoint) ?? { requests: 0, prefillTokens: 0, prefillTokenTimes: 0, memoryTokens: 0, running: new Map() }
    this.peerTotals.set(load.endpoint, peerTotals)
    peerTotals.requests += sign * load.requests
    peerTotals.prefillTokens += sign * load.prefillTokens
    // The times are rounded so that sums are exact, and nothing is left over when all reports have been subtracted again.
    peerTotals.prefillTokenTimes += sign * load.prefillTokens * Math.round(receivedAt)
    peerTotals.memoryTokens += sign * load.memoryTokens
    for (const [key, running] of load.adapters) {
      const sum = (peerTotals.running.get(key) ?? 0) + sign * running
      if (sum > 0) peerTotals.running.set(key, sum)
      else peerTotals.running.delete(key)
    }
  }

  private ownWork (endpoint: EndpointId): OwnWork {
    let own = this.own.get(endpoint)
    if (own === undefined) {
      own = { requests: 0, prefillTokens: 0, memoryTokens: 0, running: new Map(), sent: new Map() }
      this.own.set(endpoint, own)
    }
    return own
  }
}

function ownTotals (endpoint: EndpointId, own: OwnWork): Omit<RelayedLoad, 'adapters'> {
  return { endpoint, requests: own.requests, prefillTokens: Math.round(own.prefillTokens), memoryTokens: Math.round(own.memoryTokens) }
}

function decrement (counts: Map<AdapterKey, number>, key: AdapterKey): void {
  const left = (counts.get(key) ?? 0) - 1
  if (left > 0) counts.set(key, left)
  else counts.delete(key)
}
