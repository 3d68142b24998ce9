/** The requests that wait for admission to one engine at its owner, indexed by request id and by adapter. */
import type { Result } from 'neverthrow'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { FairQueue } from '@limpetwinch/decisions'
import type { Grant, WaitingRequest } from './admission.js'

/** Completes the wait of a request with its result. Called once for each request. */
export type Settle = (result: Result<Grant, LimpetwinchError>) => void

const NO_REQUESTS: ReadonlySet<WaitingRequest> = new Set()

/** Keeps the fair queue of one engine and the indexes of the waiting requests consistent. */
export class AdmissionQueue {
  private readonly queue: FairQueue<WaitingRequest>
  private readonly waiting = new Map<string, { item: WaitingRequest, settle: Settle }>()
  private readonly byAdapter = new Map<string, Set<WaitingRequest>>()

  /** @param queue - the fair queue, which decides which request is admitted next */
  constructor (queue: FairQueue<WaitingRequest>) {
    this.queue = queue
  }

  /** Number of waiting requests. */
  get size (): number {
    return this.waiting.size
  }

  /** @returns the ids of all waiting requests */
  ids (): string[] {
    return [...this.waiting.keys()]
  }

  /** @returns whether the request is waiting */
  has (requestId: string): boolean {
    return this.waiting.has(requestId)
  }

  /** @returns the waiting request with an id, or undefined if there is none */
  get (requestId: string): WaitingRequest | undefined {
    return this.waiting.get(requestId)?.item
  }

  /** Adds a request to the queue and the indexes. */
  add (item: WaitingRequest, settle: Settle): void {
    this.queue.push(item)
    this.waiting.set(item.requestId, { item, settle })
    if (item.adapter === undefined) return
    const waiting = this.byAdapter.get(item.adapter) ?? new Set()
    waiting.add(item)
    this.byAdapter.set(item.adapter, waiting)
  }

  /** Removes a waiting request and completes its wait with a result. Does nothing if the request is not waiting. */
  settle (requestId: string, result: Result<Grant, LimpetwinchError>): void {
    const entry = this.waiting.get(requestId)
    if (entry === undefined) return
    this.waiting.delete(requestId)
    this.queue.remove(requestId)
    this.forgetAdapter(entry.item)
    entry.settle(result)
  }

  /** @returns the adapters that requests wait for */
  adapters (): string[] {
    return [...this.byAdapter.keys()]
  }

  /** @returns the requests that wait for an adapter */
  forAdapter (adapter: string): ReadonlySet<WaitingRequest> {
    return this.byAdapter.get(adapter) ?? NO_REQUESTS
  }

  private forgetAdapter (item: WaitingRequest): void {
    if (item.adapter === undefined) return
    const waiting = this.byAdapter.get(item.adapter)
    waiting?.delete(item)
    if (waiting?.size === 0) this.byAdapter.delete(item.adapter)
  }
}
