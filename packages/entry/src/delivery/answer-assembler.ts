/** Puts the parts of a streamed response in order and removes duplicates. */
import type { GeneratedPart } from '@limpetwinch/core'

/**
 * Number of parts kept while an earlier part is missing, to bound memory. Further parts are dropped, and arrive again when the
 * stream is resumed.
 */
const MAXIMUM_PARTS_AHEAD = 4_096

/**
 * Assembles the parts of one response. Parts may arrive twice (because a resumed stream starts at an earlier position),
 * late (from an abandoned connection) or out of order. To keep the caller from reading repeated or swapped words, parts are
 * released in the order of their positions, and each position once.
 */
export class AnswerAssembler {
  private readonly ahead = new Map<number, string>()
  private nextPosition = 0

  /** The position of the next missing part, at which a resumed stream starts. */
  get next (): number {
    return this.nextPosition
  }

  /** Whether later parts are held back because an earlier one is missing. */
  get hasGap (): boolean {
    return this.ahead.size > 0
  }

  /**
   * Adds a part.
   *
   * @param part - the part as it was received
   * @returns the texts that can be sent to the caller now, in order
   */
  push (part: GeneratedPart): string[] {
    if (part.position < this.nextPosition) return []
    if (part.position > this.nextPosition) {
      if (this.ahead.size < MAXIMUM_PARTS_AHEAD) this.ahead.set(part.position, part.text)
      return []
    }
    const ready = [part.text]
    this.nextPosition += 1
    for (;;) {
      const text = this.ahead.get(this.nextPosition)
      if (text === undefined) return ready
      this.ahead.delete(this.nextPosition)
      ready.push(text)
      this.nextPosition += 1
    }
  }
}
