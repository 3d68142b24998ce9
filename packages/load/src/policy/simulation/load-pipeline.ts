/** Adapter loads of the whole deployment: which loads are pending, which one begins next, and which adapter is evicted for it. */
import { notBeforeAfterFailure } from '@limpetwinch/decisions'
import type { LoadCandidate } from '@limpetwinch/decisions'
import type { EventQueue } from './event-queue.js'
import type { PolicyBundle } from './policy-bundle.js'
import type { SimulatedEngine } from './simulated-engine.js'
import { SimulatedWeightStore } from './weight-store.js'

/** Callbacks from the pipeline to the simulation. */
export interface LoadListener {
  /** Called when an adapter has been loaded on an engine. */
  readonly loaded: (engine: SimulatedEngine, now: number) => void
}

interface FailureRecord {
  readonly failures: number
  readonly notBefore: number
}

/** Counters of loads and evictions. */
export interface LoadCounts {
  loads: number
  evictions: number
  failedLoads: number
}

/** Runs one load at a time and takes the next one in the order of the policy. */
export class LoadPipeline {
  readonly counts: LoadCounts = { loads: 0, evictions: 0, failedLoads: 0 }
  private readonly store: SimulatedWeightStore
  private readonly failures = new Map<string, FailureRecord>()
  /** Whether the state changed since the last attempt that found no load to begin. */
  private changedSinceLastAttempt = true
  private backoffTimerAt = Infinity
  private teamsWithPendingLoads: ReadonlySet<string> = new Set()

  constructor (
    private readonly engines: readonly SimulatedEngine[],
    private readonly policy: PolicyBundle,
    private readonly events: EventQueue,
    private readonly listener: LoadListener,
    loadsPerSecond: number,
    private readonly fails: (adapter: string, now: number) => boolean
  ) {
    this.store = new SimulatedWeightStore(1_000 / loadsPerSecond)
  }

  /** Records that the state changed, so that a load may be needed or possible now. */
  changed (): void {
    this.changedSinceLastAttempt = true
  }

  /** Begins the next load unless a load is in progress. */
  run (now: number): void {
    while (this.changedSinceLastAttempt && this.store.active === 0) {
      this.changedSinceLastAttempt = this.beginNext(now)
    }
  }

  /** @returns the number of loads pending or in progress on one engine */
  pendingLoads (engine: SimulatedEngine): number {
    let count = 0
    for (const adapter of engine.waitingByAdapter.keys()) {
      if (engine.slots.get(adapter)?.state !== 'loaded') count += 1
    }
    return count
  }

  private beginNext (now: number): boolean {
    const candidates = this.loadCandidates()
    this.updateLoadAccounting(candidates)
    this.scheduleRunAfterBackoff(candidates, now)
    while (candidates.length > 0) {
      const load = this.policy.loadOrder.next(candidates, now)
      if (load === undefined) return false
      if (this.tryBegin(load, now)) return true
      candidates.splice(candidates.indexOf(load), 1)
    }
    return this.beginLoadAhead(now)
  }

  /** Loads a popular adapter into a free slot while no request waits for a load. */
  private beginLoadAhead (now: number): boolean {
    const { loadAhead } = this.policy
    if (loadAhead === undefined) return false
    let mostFree: SimulatedEngine | undefined
    for (const engine of this.engines) {
      if (engine.slots.free > (mostFree?.slots.free ?? 0)) mostFree = engine
    }
    if (mostFree === undefined) return false
    const held = (adapter: string) => this.engines.some((engine) => engine.slots.get(adapter) !== undefined)
    const adapter = loadAhead.suggest(held, now)
    if (adapter === undefined) return false
    this.startTransfer(mostFree, adapter, now)
    return true
  }

  private loadCandidates (): LoadCandidate[] {
    const candidates: LoadCandidate[] = []
    for (const engine of this.engines) {
      for (const [adapter, waiting] of engine.waitingByAdapter) {
        if (engine.slots.get(adapter) !== undefined) continue
        const first = waiting.values().next().value
        if (first === undefined) continue
        const key = `${engine.index} ${adapter}`
        const failure = this.failures.get(key)
        candidates.push({
          adapter,
          team: first.team,
          endpoint: String(engine.index),
          waitingSince: first.stalledSince,
          waitingRequests: waiting.size,
          highestPriority: Math.max(...[...waiting].map((request) => request.priority)),
          shareUsed: this.policy.loadAccounting?.shareUsed(first.team) ?? 1,
          failures: failure?.failures ?? 0,
          notBefore: failure?.notBefore ?? 0
        })
      }
    }
    return candidates
  }

  private tryBegin (load: LoadCandidate, now: number): boolean {
    const engine = this.engines[Number(load.endpoint)]
    if (engine === undefined || !this.ensureFreeSlot(engine, load.adapter, now)) return false
    this.policy.loadAccounting?.charge(load.team, 1)
    this.startTransfer(engine, load.adapter, now)
    return true
  }

  private startTransfer (engine: SimulatedEngine, adapter: string, now: number): void {
    engine.slots.reserve(adapter, engine.waitingByAdapter.get(adapter)?.size ?? 0, now)
    this.counts.loads += 1
    const epoch = engine.epoch
    this.store.begin(now, (at) => this.handleTransferEnd(engine, adapter, epoch, at))
    const end = this.store.nextEnd()
    if (end !== undefined) this.events.at(end, (at) => this.store.advance(at))
  }

  private ensureFreeSlot (engine: SimulatedEngine, incoming: string, now: number): boolean {
    if (engine.slots.free > 0) return true
    const slots = engine.slots.loaded()
    for (const slot of slots) slot.otherCopies = this.otherCopies(engine, slot.adapter)
    const victim = this.policy.eviction.victim(slots, incoming, now)
    if (victim === undefined) return false
    engine.slots.evict(victim)
    this.counts.evictions += 1
    for (const request of engine.waitingByAdapter.get(victim) ?? []) request.beginStall(now)
    return true
  }

  private otherCopies (engine: SimulatedEngine, adapter: string): number {
    let copies = 0
    for (const other of this.engines) {
      if (other !== engine && other.slots.get(adapter)?.state === 'loaded') copies += 1
    }
    return copies
  }

  private handleTransferEnd (engine: SimulatedEngine, adapter: string, epoch: number, now: number): void {
    this.changedSinceLastAttempt = true
    // The engine restarted during the load and lost it; the waiting requests make the load pending again.
    if (engine.epoch !== epoch) return
    const key = `${engine.index} ${adapter}`
    if (this.fails(adapter, now)) {
      const failures = (this.failures.get(key)?.failures ?? 0) + 1
      this.failures.set(key, { failures, notBefore: notBeforeAfterFailure(failures, now) })
      this.counts.failedLoads += 1
      engine.slots.evict(adapter)
      return
    }
    this.failures.delete(key)
    const slot = engine.slots.get(adapter)
    if (slot === undefined) return
    slot.state = 'loaded'
    slot.loadedAt = now
    slot.lastUsedAt = now
    for (const request of engine.waitingByAdapter.get(adapter) ?? []) request.endStall(now)
    this.listener.loaded(engine, now)
  }

  /** Marks the teams with pending loads as backlogged in the accounting of loads. */
  private updateLoadAccounting (candidates: readonly LoadCandidate[]): void {
    const accounting = this.policy.loadAccounting
    if (accounting === undefined) return
    const teams = new Set(candidates.map((load) => load.team))
    for (const team of teams) if (!this.teamsWithPendingLoads.has(team)) accounting.arrived(team)
    for (const team of this.teamsWithPendingLoads) if (!teams.has(team)) accounting.left(team)
    this.teamsWithPendingLoads = teams
  }

  /** Schedules a run at the end of the earliest backoff, since no other event may occur at that time. */
  private scheduleRunAfterBackoff (candidates: readonly LoadCandidate[], now: number): void {
    let earliest = Infinity
    for (const load of candidates) if (load.notBefore > now) earliest = Math.min(earliest, load.notBefore)
    if (earliest === Infinity || (this.backoffTimerAt > now && this.backoffTimerAt <= earliest)) return
    this.backoffTimerAt = earliest
    this.events.at(earliest, (at) => {
      this.changedSinceLastAttempt = true
      this.run(at)
    })
  }
}
