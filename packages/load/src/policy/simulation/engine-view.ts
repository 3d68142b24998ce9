/** An engine as the router sees it: counts from the last report, requests sent since that report, and the current slots. */
import type { DataCentreId, EndpointId } from '@limpetwinch/core'
import type { EndpointView, EvictionPolicy } from '@limpetwinch/decisions'
import type { SimulatedRequest } from './simulated-request.js'
import { BATCH_CAPACITY } from './engine-timing.js'
import type { SimulatedEngine } from './simulated-engine.js'

/** Request of typical cost, for a question in which only the team matters. */
const TYPICAL_REQUEST = { cost: 360 }
const DATA_CENTRES = 3
/** One-way network latency to an engine in another data centre. */
const REMOTE_ONE_WAY_MILLISECONDS = 0.5

/** View of one engine for the whole run; {@link EngineView.refresh} applies a new report. */
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
  /** Requests queued before a new request of each team, computed once per report. */
  private readonly queuedBeforeTeam = new Map<string, number>()

  /**
   * @param engine - the engine that the view describes
   * @param eviction - estimates the cost of one more load on the engine
   * @param clock - returns the simulated time, milliseconds
   */
  constructor (private readonly engine: SimulatedEngine, eviction: EvictionPolicy, clock: () => number) {
    if (eviction.cost !== undefined) {
      this.evictionCost = () => {
        const needed = engine.slotsNeeded() - engine.slots.free
        return needed < 0 ? 0 : eviction.cost?.(engine.slots.loaded(), needed, clock()) ?? 0
      }
    }
    const dataCentreIndex = engine.index % DATA_CENTRES
    this.endpoint = `engine-${String(engine.index).padStart(3, '0')}` as EndpointId
    this.dataCentre = `data-centre-${dataCentreIndex}` as DataCentreId
    this.oneWayMilliseconds = dataCentreIndex === 0 ? 0 : REMOTE_ONE_WAY_MILLISECONDS
    this.slots = engine.slots.count
  }

  readonly holds = (adapter: string): 'loaded' | 'loading' | 'absent' => {
    const state = this.engine.slots.get(adapter)?.state
    if (state !== undefined) return state
    return this.engine.waitingByAdapter.has(adapter) ? 'loading' : 'absent'
  }

  readonly queuedBefore = (team: string): number => {
    const cached = this.queuedBeforeTeam.get(team)
    if (cached !== undefined) return cached
    const { queue } = this.engine
    const tokens = queue.tokensAhead?.({ ...TYPICAL_REQUEST, team } as SimulatedRequest)
    const ahead = tokens === undefined ? this.queued : Math.min(this.queued, tokens / TYPICAL_REQUEST.cost)
    this.queuedBeforeTeam.set(team, ahead)
    return ahead
  }

  /** Always 0: prompts of a trace have no text, so no prefix can be cached. */
  readonly cachedShare = (): number => 0

  /**
   * Applies a new report of the engine.
   *
   * @param pendingLoads - loads pending or in progress on the engine
   */
  refresh (pendingLoads: number): void {
    this.queued = this.engine.queue.size
    this.running = this.engine.running.length
    this.sentSinceReport = 0
    this.queuedBeforeTeam.clear()
    this.pinnedSlots = this.engine.slots.pinned
    this.pendingLoads = pendingLoads
  }
}
