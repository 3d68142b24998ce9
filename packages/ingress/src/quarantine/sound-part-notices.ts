/** Announces sound parts of prompts to all instances, in batches. */
import type { SoundPartsFrame } from '@limpetwinch/core'
import type { PartFingerprint } from '@limpetwinch/decisions'

/**
 * Longest delay of a notice. Many instances see sound answers on a popular part within a moment of each crash; with random delays, most of them
 * hear the notice of another instance before they send their own. Notices still arrive before the cause of the crash is decided on.
 */
const MAXIMUM_DELAY_MILLISECONDS = 100

/** Parts that this instance has seen to be sound and has not announced yet. */
export class SoundPartNotices {
  private readonly broadcast: (frame: SoundPartsFrame) => void
  private readonly random: () => number
  private readonly pending = new Set<PartFingerprint>()
  private timer: NodeJS.Timeout | undefined

  /**
   * @param broadcast - sends a notice to all other instances
   * @param random - random numbers from 0 up to 1
   */
  constructor (broadcast: (frame: SoundPartsFrame) => void, random: () => number = Math.random) {
    this.broadcast = broadcast
    this.random = random
  }

  /** Announces a part soon, unless another instance announces it first. */
  add (part: PartFingerprint): void {
    this.pending.add(part)
    this.timer ??= setTimeout(() => this.send(), this.random() * MAXIMUM_DELAY_MILLISECONDS).unref()
  }

  /** Drops announcements that another instance has made. */
  heard (parts: readonly PartFingerprint[]): void {
    for (const part of parts) this.pending.delete(part)
  }

  private send (): void {
    this.timer = undefined
    if (this.pending.size === 0) return
    this.broadcast({ kind: 'sound-parts', parts: [...this.pending] })
    this.pending.clear()
  }
}
