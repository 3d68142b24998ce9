/** The sequences that an engine can resume or cancel: waiting and running ones, and ended ones for a limited time. */
import type { Sequence } from './sequence.js'

/** Sequences by request id. */
export class SequenceTable {
  private readonly byRequest = new Map<string, Sequence>()
  private readonly ended: Sequence[] = []
  private readonly keepMilliseconds: number

  /** @param keepMilliseconds - time for which an ended sequence can still be resumed, in milliseconds */
  constructor (keepMilliseconds: number) {
    this.keepMilliseconds = keepMilliseconds
  }

  /** Adds a sequence. A second sequence of the same request replaces the first one in the table; both keep running. */
  add (sequence: Sequence): void {
    this.byRequest.set(sequence.request.requestId, sequence)
  }

  /** @returns the latest sequence of a request */
  find (requestId: string): Sequence | undefined {
    return this.byRequest.get(requestId)
  }

  /** Records the end of a sequence, and removes sequences that ended longer ago than they are kept. */
  noteEnded (sequence: Sequence): void {
    this.ended.push(sequence)
    const expiry = performance.now() - this.keepMilliseconds
    let expired = 0
    while (expired < this.ended.length && (this.ended[expired]?.endedAt ?? 0) < expiry) expired += 1
    for (const removed of this.ended.splice(0, expired)) this.removeSequence(removed)
  }

  /** Removes all sequences. */
  clear (): void {
    this.byRequest.clear()
    this.ended.length = 0
  }

  private removeSequence (sequence: Sequence): void {
    const { requestId } = sequence.request
    if (this.byRequest.get(requestId) === sequence) this.byRequest.delete(requestId)
  }
}
