/** An engine's orders as engines carry them out: counted, conditional, some without an answer, some late. */
import { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { EngineOrder, EngineReport, ModelName, OrderAnswer } from '@limpetwinch/ingress'
import { key } from './samples.js'

/** What becomes of an order: done and answered, done without an answer, never seen, or carried out on call. */
export type OrderFate = 'done' | 'lost' | 'silent' | 'late'

const LOAD_MILLISECONDS = 30

/** One engine that holds the model `base`. */
export class SimulatedEngine {
  /** Fates of the next orders; all others are done. */
  next: OrderFate[]
  /** Called once when the next order has met its fate. */
  afterNext: (() => void) | undefined
  /** Most adapters held or on their way at once. */
  mostOccupied = 0
  readonly unloaded: string[] = []
  /** How often it was asked what it holds. */
  reportCount = 0
  private readonly slots: number
  private readonly adapters = new Map<string, 'held' | 'inFlight'>()
  private readonly versions = new Map<string, number>()
  private readonly late: EngineOrder[] = []
  private readonly inUse = new Set<string>()
  private readonly departing = new Set<string>()
  private readonly counts = new Map<EngineOrder['operation'], number>()
  private sequence = 0

  constructor ({ slots, next = [] }: { readonly slots: number, readonly next?: readonly OrderFate[] }) {
    this.slots = slots
    this.next = [...next]
  }

  /** @returns names of the adapters held */
  held (): string[] {
    return [...this.adapters].filter(([, state]) => state === 'held').map(([name]) => name)
  }

  /** @returns the version of an adapter that is held */
  versionOf (name: string): number | undefined {
    return this.adapters.get(name) === 'held' ? this.versions.get(name) : undefined
  }

  /** A run uses the adapter of which nobody else knows. */
  use (name: string): void {
    this.inUse.add(name)
  }

  /** That run has ended. */
  release (name: string): void {
    this.inUse.delete(name)
    if (this.departing.delete(name)) this.drop(name)
  }

  /** @returns orders of the kind that came */
  orderCount (operation: EngineOrder['operation']): number {
    return this.counts.get(operation) ?? 0
  }

  /** Takes an order. */
  async order (order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>> {
    this.counts.set(order.operation, this.orderCount(order.operation) + 1)
    const fate = this.next.shift() ?? 'done'
    const { afterNext } = this
    this.afterNext = undefined
    afterNext?.()
    if (fate === 'done') return ok(this.carryOut(order))
    if (fate === 'late') this.late.push(order)
    if (fate === 'lost') this.carryOut(order)
    return err(new LimpetwinchError('endpoint-failed', { endpoint: 'engine', reason: 'no answer' }))
  }

  /** Carries out what was held up. */
  carryOutLate (): void {
    for (const order of this.late.splice(0)) this.carryOut(order)
  }

  /** @returns the engine's own account */
  report (): Result<EngineReport, LimpetwinchError> {
    this.reportCount += 1
    const inState = (wanted: string): EngineReport['held'] => [...this.adapters].filter(([, state]) => state === wanted).map(([name]) => ({ key: key(name), version: this.versions.get(name) ?? 1 }))
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
    if (this.adapters.size > this.slots) throw new Error('the engine ended: more adapters than slots')
    setTimeout(() => { if (this.adapters.has(name)) this.adapters.set(name, 'held') }, LOAD_MILLISECONDS)
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
