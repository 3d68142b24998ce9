/** The requests that wait at an owner, by id and by the adapter that they wait for. */
import type { Result } from 'neverthrow'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { FairQueue } from '@limpetwinch/decisions'
import type { Grant, WaitingRequest } from './admission.js'

/** Answers a request that waits, once. */
export type Settle = (result: Result<Grant, LimpetwinchError>) => void

const NOBODY: ReadonlySet<WaitingRequest> = new Set()

/** Keeps queue and look-ups in step. */
export class AdmissionQueue {
  private readonly queue: FairQueue<WaitingRequest>
  private readonly waiting = new Map<string, { item: WaitingRequest, settle: Settle }>()
  private readonly byAdapter = new Map<string, Set<WaitingRequest>>()

  /** @param queue - decides who goes next */
  constructor (queue: FairQueue<WaitingRequest>) {
    this.queue = queue
  }

  /** Requests that wait. */
  get size (): number {
    return this.waiting.size
  }

  /** @returns the ids of all that wait */
  ids (): string[] {
    return [...this.waiting.keys()]
  }

  /** @returns whether a request waits */
  has (requestId: string): boolean {
    return this.waiting.has(requestId)
  }

  /** @returns a request that waits */
  get (requestId: string): WaitingRequest | undefined {
    return this.waiting.get(requestId)?.item
  }

  /** Puts a request into the queue. */
  add (item: WaitingRequest, settle: Settle): void {
    this.queue.push(item)
    this.waiting.set(item.requestId, { item, settle })
    if (item.adapter === undefined) return
    const waiting = this.byAdapter.get(item.adapter) ?? new Set()
    waiting.add(item)
    this.byAdapter.set(item.adapter, waiting)
  }

  /** Answers a request and takes it out; nothing happens when it does not wait. */
  settle (requestId: string, result: Result<Grant, LimpetwinchError>): void {
    const entry = this.waiting.get(requestId)
    if (entry === undefined) return
    this.waiting.delete(requestId)
    this.queue.remove(requestId)
    this.forgetAdapter(entry.item)
    entry.settle(result)
  }

  /** @returns adapters that requests wait for */
  adapters (): string[] {
    return [...this.byAdapter.keys()]
  }

  /** @returns requests that wait for an adapter */
  forAdapter (adapter: string): ReadonlySet<WaitingRequest> {
    return this.byAdapter.get(adapter) ?? NOBODY
  }

  private forgetAdapter (item: WaitingRequest): void {
    if (item.adapter === undefined) return
    const waiting = this.byAdapter.get(item.adapter)
    waiting?.delete(item)
    if (waiting?.size === 0) this.byAdapter.delete(item.adapter)
  }
}
