/** Puts the parts of an answer in order, each once. */
import type { GeneratedPart } from '@limpetwinch/core'

const MOST_PARTS_AHEAD = 4_096

/**
 * Parts may come doubled (a resumed stream starts earlier), late (from a connection given up) or out of order. The
 * caller would read doubled or swapped words, so parts go out by position and each position once.
 */
export class AnswerAssembler {
  private readonly ahead = new Map<number, string>()
  private nextPosition = 0

  /** The position of the next part that is missing; a resumed stream starts here. */
  get next (): number {
    return this.nextPosition
  }

  /** Whether parts wait for a missing one. */
  get hasGap (): boolean {
    return this.ahead.size > 0
  }

  /**
   * @param part - a part as it came
   * @returns the texts that can go out now, in order
   */
  push (part: GeneratedPart): string[] {
    if (part.position < this.nextPosition) return []
    if (part.position > this.nextPosition) {
      if (this.ahead.size < MOST_PARTS_AHEAD) this.ahead.set(part.position, part.text)
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
