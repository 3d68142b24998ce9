/** The side of load turns that grants them, one at a time. */
import type { Clock, InstanceId } from '@limpetwinch/core'

/** A load that takes longer no longer keeps the others waiting. */
const LONGEST_TURN_MILLISECONDS = 10_000

interface WaitingTurn {
  readonly holder: InstanceId
  readonly turn: string
  readonly urgency: number
  readonly since: number
  readonly grant: (granted: boolean) => void
}

/** Grants turns by urgency. It remembers nothing that must last: a new conductor starts empty. */
export class LoadTurnConductor {
  private readonly clock: Clock
  private readonly waiting = new Map<string, WaitingTurn>()
  private current: { readonly key: string, readonly timer: NodeJS.Timeout } | undefined

  /** @param clock - ages what waits */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /**
   * Waits for a turn; asking again for the same one takes the place of the earlier ask.
   *
   * @param signal - ends with the asker's connection: what it waits for or holds lapses
   * @returns whether the turn was granted
   */
  async ask (holder: InstanceId, turn: string, urgency: number, signal: AbortSignal): Promise<boolean> {
    const key = keyOf(holder, turn)
    this.waiting.get(key)?.grant(false)
    const lapse = (): void => this.lapse(key)
    signal.addEventListener('abort', lapse, { once: true })
    const granted = await new Promise<boolean>((resolve) => {
      this.waiting.set(key, { holder, turn, urgency, since: this.clock.now(), grant: resolve })
      if (signal.aborted) this.lapse(key)
      else this.next()
    })
    if (!granted) signal.removeEventListener('abort', lapse)
    return granted
  }

  /** Takes a turn back. */
  done (holder: InstanceId, turn: string): void {
    this.lapse(keyOf(holder, turn))
  }

  private lapse (key: string): void {
    this.waiting.get(key)?.grant(false)
    this.waiting.delete(key)
    if (this.current?.key !== key) return
    clearTimeout(this.current.timer)
    this.current = undefined
    this.next()
  }

  private next (): void {
    if (this.current !== undefined) return
    const [first] = [...this.waiting.entries()].sort(([, one], [, other]) => this.weight(other) - this.weight(one))
    if (first === undefined) return
    const [key, waiting] = first
    this.waiting.delete(key)
    this.current = { key, timer: setTimeout(() => this.lapse(key), LONGEST_TURN_MILLISECONDS) }
    waiting.grant(true)
  }

  /** Waiting adds to the stall that a load ends, so nothing waits for ever. */
  private weight (waiting: WaitingTurn): number {
    return waiting.urgency + this.clock.now() - waiting.since
  }
}

function keyOf (holder: InstanceId, turn: string): string {
  return `${holder} ${turn}`
}
