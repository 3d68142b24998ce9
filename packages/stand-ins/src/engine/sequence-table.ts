/** The requests that an engine knows: running ones, and ended ones for a while. */
import type { Sequence } from './sequence.js'

/** Sequences by request id. */
export class SequenceTable {
  private readonly byRequest = new Map<string, Sequence>()
  private readonly ended: Sequence[] = []
  private readonly keepMilliseconds: number

  /** @param keepMilliseconds - how long an ended answer can still be resumed */
  constructor (keepMilliseconds: number) {
    this.keepMilliseconds = keepMilliseconds
  }

  /** Adds a sequence; a second one for the same request takes the first one's place here, and both run. */
  add (sequence: Sequence): void {
    this.byRequest.set(sequence.request.requestId, sequence)
  }

  /** @returns the newest sequence of a request */
  find (requestId: string): Sequence | undefined {
    return this.byRequest.get(requestId)
  }

  /** Notes that a sequence has ended, and forgets those that ended long ago. */
  noteEnded (sequence: Sequence): void {
    this.ended.push(sequence)
    const oldest = performance.now() - this.keepMilliseconds
    let old = 0
    while (old < this.ended.length && (this.ended[old]?.endedAt ?? 0) < oldest) old += 1
    for (const forgotten of this.ended.splice(0, old)) this.forget(forgotten)
  }

  /** Forgets all. */
  clear (): void {
    this.byRequest.clear()
    this.ended.length = 0
  }

  private forget (sequence: Sequence): void {
    const { requestId } = sequence.request
    if (this.byRequest.get(requestId) === sequence) this.byRequest.delete(requestId)
  }
}
