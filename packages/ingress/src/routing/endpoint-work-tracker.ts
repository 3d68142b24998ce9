/** Work in hand on each endpoint: this instance's own, exactly, and that of its peers, as told some hundred milliseconds ago. */
import type { EndpointId, InstanceId, RelayedLoad } from '@limpetwinch/core'
import type { AdapterKey } from '../routes/configuration.js'

/** A peer's word counts for so long; one that stopped speaking must not weigh on an endpoint for ever. */
const PEER_REPORT_MILLISECONDS = 5_000

/** What an endpoint has in hand. */
export interface OutstandingWork {
  readonly requests: number
  /** Prompt tokens that wait to be read. */
  readonly prefillTokens: number
  /** Memory taken by prompts and output, tokens. */
  readonly memoryTokens: number
}

/** One request's share of an endpoint's work. */
export interface RequestWork {
  readonly prefillTokens: number
  readonly memoryTokens: number
  readonly adapter: AdapterKey | undefined
}

interface OwnWork {
  requests: number
  prefillTokens: number
  memoryTokens: number
  readonly running: Map<AdapterKey, number>
  readonly sent: Map<AdapterKey, number>
}

interface PeerReport {
  readonly receivedAt: number
  readonly loads: readonly RelayedLoad[]
}

/** What all peers together have on one endpoint. */
interface PeerTotals {
  requests: number
  prefillTokens: number
  memoryTokens: number
  /** Requests that run, by adapter. */
  readonly running: Map<string, number>
}

/** A request's work on an endpoint, to be told of its progress and its end. */
export interface WorkTicket {
  /** The prompt is read: the first event has come. */
  prefilled: () => void
  /** The request no longer runs there. */
  ended: () => void
}

/** Work in hand by endpoint. */
export class EndpointWorkTracker {
  private readonly own = new Map<EndpointId, OwnWork>()
  /** By who said it, the oldest word first. */
  private readonly peers = new Map<InstanceId, PeerReport>()
  /** Kept up with each word: a router asks for every engine at each request, and there may be hundreds of peers. */
  private readonly peerTotals = new Map<EndpointId, PeerTotals>()
  private readonly releaseListeners: ((endpoint: EndpointId) => void)[] = []
  private readonly useListeners: ((endpoint: EndpointId, key: AdapterKey, uses: number) => void)[] = []

  /** Calls the listener with uses of adapters, own and those told by peers. */
  onUse (listener: (endpoint: EndpointId, key: AdapterKey, uses: number) => void): void {
    this.useListeners.push(listener)
  }

  /** Counts a request on an endpoint. */
  begin (endpoint: EndpointId, work: RequestWork): WorkTicket {
    const own = this.ownWork(endpoint)
    own.requests += 1
    own.prefillTokens += work.prefillTokens
    own.memoryTokens += work.memoryTokens
    if (work.adapter !== undefined) {
      own.running.set(work.adapter, (own.running.get(work.adapter) ?? 0) + 1)
      own.sent.set(work.adapter, (own.sent.get(work.adapter) ?? 0) + 1)
      for (const listener of this.useListeners) listener(endpoint, work.adapter, 1)
    }
    let reading = true
    let running = true
    const prefilled = (): void => {
      if (!reading) return
      reading = false
      own.prefillTokens -= work.prefillTokens
    }
    const ended = (): void => {
      if (!running) return
      running = false
      prefilled()
      own.requests -= 1
      own.memoryTokens -= work.memoryTokens
      if (work.adapter === undefined) return
      decrement(own.running, work.adapter)
      if (!own.running.has(work.adapter)) for (const listener of this.releaseListeners) listener(endpoint)
    }
    return { prefilled, ended }
  }

  /** @returns the work of all instances on an endpoint */
  outstanding (endpoint: EndpointId, now: number): OutstandingWork {
    this.dropExpiredReports(now)
    const own = this.own.get(endpoint)
    const peers = this.peerTotals.get(endpoint)
    return {
      requests: (own?.requests ?? 0) + (peers?.requests ?? 0),
      prefillTokens: (own?.prefillTokens ?? 0) + (peers?.prefillTokens ?? 0),
      memoryTokens: (own?.memoryTokens ?? 0) + (peers?.memoryTokens ?? 0)
    }
  }

  /** @returns requests of this instance that use the adapter on the endpoint now */
  ownRunning (endpoint: EndpointId, key: AdapterKey): number {
    return this.own.get(endpoint)?.running.get(key) ?? 0
  }

  /** @returns requests of all instances that use the adapter on the endpoint now */
  running (endpoint: EndpointId, key: AdapterKey, now: number): number {
    this.dropExpiredReports(now)
    return (this.own.get(endpoint)?.running.get(key) ?? 0) + (this.peerTotals.get(endpoint)?.running.get(key) ?? 0)
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

  /** Takes a peer's digest. */
  applyPeerReport (from: InstanceId, loads: readonly RelayedLoad[], now: number): void {
    this.forgetPeer(from)
    this.peers.set(from, { receivedAt: now, loads })
    for (const load of loads) this.addToTotals(load, 1)
    for (const load of loads) {
      for (const [key, , sent] of load.adapters) {
        if (sent > 0) for (const listener of this.useListeners) listener(load.endpoint, key as AdapterKey, sent)
      }
    }
  }

  /** Forgets a peer that is gone. */
  forgetPeer (instance: InstanceId): void {
    for (const load of this.peers.get(instance)?.loads ?? []) this.addToTotals(load, -1)
    this.peers.delete(instance)
  }

  /** Calls the listener when the last own run of an adapter on an endpoint has ended: its slot may be free. */
  onReleased (listener: (endpoint: EndpointId) => void): void {
    this.releaseListeners.push(listener)
  }

  /** @returns the own work as it is, for one peer; what was sent is left to the next digest for all */
  present (): RelayedLoad[] {
    return [...this.own].filter(([, own]) => own.requests > 0).map(([endpoint, own]) => ({
      ...sums(endpoint, own), adapters: [...own.running].map(([key, running]): [string, number, number] => [key, running, 0])
    }))
  }

  /** @returns the own work for peers; what was sent since the last digest is counted once */
  digest (): RelayedLoad[] {
    const loads: RelayedLoad[] = []
    for (const [endpoint, own] of this.own) {
      if (own.requests === 0 && own.sent.size === 0) continue
      const keys = new Set([...own.running.keys(), ...own.sent.keys()])
      const adapters = [...keys].map((key): [string, number, number] => [key, own.running.get(key) ?? 0, own.sent.get(key) ?? 0])
      own.sent.clear()
      loads.push({ ...sums(endpoint, own), adapters })
    }
    return loads
  }

  private dropExpiredReports (now: number): void {
    for (const [instance, { receivedAt: heardAt }] of this.peers) {
      if (now - heardAt < PEER_REPORT_MILLISECONDS) return
      this.forgetPeer(instance)
    }
  }

  /** @param sign - 1 to add, -1 to take away */
  private addToTotals (load: RelayedLoad, sign: 1 | -1): void {
    const peerTotals = this.peerTotals.get(load.endpoint) ?? { requests: 0, prefillTokens: 0, memoryTokens: 0, running: new Map() }
    this.peerTotals.set(load.endpoint, peerTotals)
    peerTotals.requests += sign * load.requests
    peerTotals.prefillTokens += sign * load.prefillTokens
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

function sums (endpoint: EndpointId, own: OwnWork): Omit<RelayedLoad, 'adapters'> {
  return { endpoint, requests: own.requests, prefillTokens: Math.round(own.prefillTokens), memoryTokens: Math.round(own.memoryTokens) }
}

function decrement (counts: Map<AdapterKey, number>, key: AdapterKey): void {
  const left = (counts.get(key) ?? 0) - 1
  if (left > 0) counts.set(key, left)
  else counts.delete(key)
}
