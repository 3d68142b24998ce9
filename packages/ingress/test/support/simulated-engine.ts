/** Simulated engine that counts orders and checks their conditions; some orders stay unanswered, some are carried out late. */
import { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { EngineOrder, EngineReport, ModelName, OrderAnswer } from '@limpetwinch/ingress'
import { key } from './samples.js'

/**
 * Fate of an order: `done` is carried out and answered, `lost` carried out without an answer, `silent` never received, and `late`
 * carried out when the test calls for it.
 */
export type OrderFate = 'done' | 'lost' | 'silent' | 'late'

/** Default duration of a load. */
const LOAD_MILLISECONDS = 30

/** One engine that holds the model `base`. */
export class SimulatedEngine {
  /** Fates of the next orders; all further orders are `done`. */
  nextFates: OrderFate[]
  /** Called once, when the next order arrives and before its fate takes effect. */
  afterNextOrder: (() => void) | undefined
  /** Highest number of adapters that were held or being loaded at once. */
  mostOccupied = 0
  readonly unloaded: string[] = []
  /** Number of reports that were read. */
  reportCount = 0
  private readonly slots: number
  private readonly loadMilliseconds: number
  private readonly adapters = new Map<string, 'held' | 'inFlight'>()
  private readonly versions = new Map<string, number>()
  private readonly late: EngineOrder[] = []
  private readonly inUse = new Set<string>()
  private readonly departing = new Set<string>()
  private readonly counts = new Map<EngineOrder['operation'], number>()
  private sequence = 0

  constructor ({ slots, next = [], loadMilliseconds = LOAD_MILLISECONDS }: { readonly slots: number, readonly next?: readonly OrderFate[], readonly loadMilliseconds?: number }) {
    this.slots = slots
    this.loadMilliseconds = loadMilliseconds
    this.nextFates = [...next]
  }

  /** Number of orders that were carried out. */
  get accepted (): number {
    return this.sequence
  }

  /** @returns names of the adapters held */
  held (): string[] {
    return [...this.adapters].filter(([, state]) => state === 'held').map(([name]) => name)
  }

  /** @returns the version of an adapter that is held */
  versionOf (name: string): number | undefined {
    return this.adapters.get(name) === 'held' ? this.versions.get(name) : undefined
  }

  /** Starts a request on the adapter that no instance knows about. */
  use (name: string): void {
    this.inUse.add(name)
  }

  /** Ends that request. */
  release (name: string): void {
    this.inUse.delete(name)
    if (this.departing.delete(name)) this.drop(name)
  }

  /** @returns the number of orders of this kind that were received */
  orderCount (operation: EngineOrder['operation']): number {
    return this.counts.get(operation) ?? 0
  }

  /** Handles an order according to its fate. */
  async order (order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>> {
    this.counts.set(order.operation, this.orderCount(order.operation) + 1)
    const fate = this.nextFates.shift() ?? 'done'
    const { afterNextOrder } = this
    this.afterNextOrder = undefined
    afterNextOrder?.()
    if (fate === 'done') return ok(this.carryOut(order))
    if (fate === 'late') this.late.push(order)
    if (fate === 'lost') this.carryOut(order)
    return err(new LimpetwinchError('endpoint-failed', { endpoint: 'engine', reason: 'no answer' }))
  }

  /** Counts an order of somebody else, so that the next order meets a conflict. */
  countOfOther (): void {
    this.sequence += 1
  }

  /** Carries out the delayed orders. */
  carryOutLate (): void {
    for (const order of this.late.splice(0)) this.carryOut(order)
  }

  /** @returns the engine's report */
  report (): Result<EngineReport, LimpetwinchError> {
    this.reportCount += 1
    const inState = (requested: string): EngineReport['held'] => [...this.adapters].filter(([, state]) => state === requested).map(([name]) => ({ key: key(name), version: this.versions.get(name) ?? 1 }))
    return ok({ sequence: this.sequence, busy: false, models: ['base' as ModelName], cachedModels: [], held: inState('held'), inFlight: inState('inFlight') })
  }

  private carryOut (order: EngineOrder): OrderAnswer {
    const name = order.adapter ?? ''
    if (order.ifSequence !== this.sequence) return 'conflict'
    if (order.operation === 'unload') return this.unload(name)
    const state = this.adapters.get(name)
    const isOld = state === 'held' && (order.version ?? 1) > (this.versions.get(name) ?? 1)
    if (state !== undefined && !isOld) return state === 'held' ? 'holds' : 'accepted'
    this.versions.set(name, order.version ?? 1)
    this.sequence += 1
    this.adapters.set(name, 'inFlight')
    this.mostOccupied = Math.max(this.mostOccupied, this.adapters.size)
    if (this.adapters.size > this.slots) throw new Error('the engine crashed: more adapters than slots')
    setTimeout(() => { if (this.adapters.has(name)) this.adapters.set(name, 'held') }, this.loadMilliseconds)
    return 'accepted'
  }

  private unload (name: string): OrderAnswer {
    // Engines count an order only when it changes something.
    if (!this.adapters.has(name)) return 'holds'
    if (this.departing.has(name)) return 'accepted'
    this.sequence += 1
    if (this.inUse.has(name)) {
      this.departing.add(name)
      return 'accepted'
    }
    this.drop(name)
    return 'holds'
  }

  private drop (name: string): void {
    this.adapters.delete(name)
    this.unloaded.push(name)
  }
}
