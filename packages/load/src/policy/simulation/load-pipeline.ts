/** Loads of the whole deployment: what is wanted, which goes next, and who leaves for it. */
import { notBeforeAfterFailure } from '@limpetwinch/decisions'
import type { LoadCandidate } from '@limpetwinch/decisions'
import type { EventQueue } from './event-queue.js'
import type { PolicyBundle } from './policy-bundle.js'
import type { SimulatedEngine } from './simulated-engine.js'
import { SimulatedWeightStore } from './weight-store.js'

/** What the pipeline tells the simulation. */
export interface LoadListener {
  /** An adapter is loaded on an engine. */
  readonly loaded: (engine: SimulatedEngine, now: number) => void
}

interface FailureRecord {
  readonly failures: number
  readonly notBefore: number
}

/** Loads counted. */
export interface LoadCounts {
  loads: number
  evictions: number
  failedLoads: number
}

/** Keeps one load running at a time, the one that the policy puts first. */
export class LoadPipeline {
  readonly counts: LoadCounts = { loads: 0, evictions: 0, failedLoads: 0 }
  private readonly store: SimulatedWeightStore
  private readonly failures = new Map<string, FailureRecord>()
  /** Whether something changed since no load could be found. */
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

  /** Something changed that may make a load wanted or possible. */
  changed (): void {
    this.changedSinceLastAttempt = true
  }

  /** Begins the next load if none runs. */
  run (now: number): void {
    while (this.changedSinceLastAttempt && this.store.active === 0) {
      this.changedSinceLastAttempt = this.beginNext(now)
    }
  }

  /** @returns loads wanted or under way on one engine */
  pendingLoads (engine: SimulatedEngine): number {
    let count = 0
    for (const adapter of engine.waitingByAdapter.keys()) {
      if (engine.slots.get(adapter)?.state !== 'loaded') count += 1
    }
    return count
  }

  private beginNext (now: number): boolean {
    const wanted = this.wanted()
    this.updateLoadAccounting(wanted)
    this.scheduleRunAfterBackoff(wanted, now)
    while (wanted.length > 0) {
      const load = this.policy.loadOrder.next(wanted, now)
      if (load === undefined) return false
      if (this.tryBegin(load, now)) return true
      wanted.splice(wanted.indexOf(load), 1)
    }
    return this.beginLoadAhead(now)
  }

  /** Fills a free slot while nobody waits for a load. */
  private beginLoadAhead (now: number): boolean {
    const { loadAhead } = this.policy
    if (loadAhead === undefined) return false
    let roomiest: SimulatedEngine | undefined
    for (const engine of this.engines) {
      if (engine.slots.free > (roomiest?.slots.free ?? 0)) roomiest = engine
    }
    if (roomiest === undefined) return false
    const held = (adapter: string) => this.engines.some((engine) => engine.slots.get(adapter) !== undefined)
    const adapter = loadAhead.suggest(held, now)
    if (adapter === undefined) return false
    this.startTransfer(roomiest, adapter, now)
    return true
  }

  private wanted (): LoadCandidate[] {
    const wanted: LoadCandidate[] = []
    for (const engine of this.engines) {
      for (const [adapter, waiting] of engine.waitingByAdapter) {
        if (engine.slots.get(adapter) !== undefined) continue
        const first = waiting.values().next().value
        if (first === undefined) continue
        const key = `${engine.index} ${adapter}`
        const failure = this.failures.get(key)
        wanted.push({
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
    return wanted
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
    // The engine restarted meanwhile: the load went with all else, and its waiters want it again.
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

  /** Teams whose loads wait are backlogged in the accounts of loads. */
  private updateLoadAccounting (wanted: readonly LoadCandidate[]): void {
    const ledger = this.policy.loadAccounting
    if (ledger === undefined) return
    const teams = new Set(wanted.map((load) => load.team))
    for (const team of teams) if (!this.teamsWithPendingLoads.has(team)) ledger.arrived(team)
    for (const team of this.teamsWithPendingLoads) if (!teams.has(team)) ledger.left(team)
    this.teamsWithPendingLoads = teams
  }

  /** A load that failed is wanted again at a time when nothing else may happen. */
  private scheduleRunAfterBackoff (wanted: readonly LoadCandidate[], now: number): void {
    let earliest = Infinity
    for (const load of wanted) if (load.notBefore > now) earliest = Math.min(earliest, load.notBefore)
    if (earliest === Infinity || (this.backoffTimerAt > now && this.backoffTimerAt <= earliest)) return
    this.backoffTimerAt = earliest
    this.events.at(earliest, (at) => {
      this.changedSinceLastAttempt = true
      this.run(at)
    })
  }
}
