/** An engine as the router sees it: counts from a report that lags, what was sent since, slots as the owner knows them. */
import type { DataCentreId, EndpointId } from '@limpetwinch/core'
import type { EndpointView, EvictionPolicy } from '@limpetwinch/decisions'
import type { SimulatedRequest } from './simulated-request.js'
import { BATCH_CAPACITY } from './engine-timing.js'
import type { SimulatedEngine } from './simulated-engine.js'

/** Stands for a usual request where only its team matters. */
const TYPICAL_REQUEST = { cost: 360 }
const DATA_CENTRES = 3
const REMOTE_ONE_WAY_MILLISECONDS = 0.5

/** A view that is kept for the whole run; `refresh` takes a new report. */
export class EngineView implements EndpointView {
  readonly endpoint: EndpointId
  readonly dataCentre: DataCentreId
  readonly oneWayMilliseconds: number
  readonly baseModel = 'base'
  readonly role = 'generate'
  readonly slots: number
  readonly batchCapacity = BATCH_CAPACITY
  readonly leaving = false
  queued = 0
  running = 0
  sentSinceReport = 0
  pinnedSlots = 0
  pendingLoads = 0
  readonly evictionCost?: () => number
  /** What a report tells of each team's place in the queue. */
  private readonly queuedBeforeTeam = new Map<string, number>()

  /**
   * @param engine - the engine that is seen
   * @param eviction - tells what another load would cost there
   * @param clock - the time of the simulation
   */
  constructor (private readonly engine: SimulatedEngine, eviction: EvictionPolicy, clock: () => number) {
    if (eviction.cost !== undefined) {
      this.evictionCost = () => {
        const wanted = engine.slotsNeeded() - engine.slots.free
        return wanted < 0 ? 0 : eviction.cost?.(engine.slots.loaded(), wanted, clock()) ?? 0
      }
    }
    const place = engine.index % DATA_CENTRES
    this.endpoint = `engine-${String(engine.index).padStart(3, '0')}` as EndpointId
    this.dataCentre = `data-centre-${place}` as DataCentreId
    this.oneWayMilliseconds = place === 0 ? 0 : REMOTE_ONE_WAY_MILLISECONDS
    this.slots = engine.slots.count
  }

  readonly holds = (adapter: string): 'loaded' | 'loading' | 'absent' => {
    const state = this.engine.slots.get(adapter)?.state
    if (state !== undefined) return state
    return this.engine.waitingByAdapter.has(adapter) ? 'loading' : 'absent'
  }

  readonly queuedBefore = (team: string): number => {
    const known = this.queuedBeforeTeam.get(team)
    if (known !== undefined) return known
    const { queue } = this.engine
    const tokens = queue.tokensAhead?.({ ...TYPICAL_REQUEST, team } as SimulatedRequest)
    const ahead = tokens === undefined ? this.queued : Math.min(this.queued, tokens / TYPICAL_REQUEST.cost)
    this.queuedBeforeTeam.set(team, ahead)
    return ahead
  }

  /** Prompts have no text in a trace. */
  readonly cachedShare = (): number => 0

  /** Takes a new report. */
  refresh (loadsAhead: number): void {
    this.queued = this.engine.queue.size
    this.running = this.engine.running.length
    this.sentSinceReport = 0
    this.queuedBeforeTeam.clear()
    this.pinnedSlots = this.engine.slots.pinned
    this.pendingLoads = loadsAhead
  }
}
