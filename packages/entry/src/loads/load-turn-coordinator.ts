/** The side of load turns that grants them, one at a time. */
import type { Clock, InstanceId } from '@limpetwinch/core'

interface WaitingTurn {
  readonly holder: InstanceId
  readonly turn: string
  readonly urgency: number
  readonly since: number
  readonly grant: (granted: boolean) => void
  /** Listens no longer for the end of the asker's connection, which outlives its turns by far. */
  readonly forget: () => void
}

/** Grants turns by urgency. It remembers nothing that must last: a new conductor starts empty. */
export class LoadTurnCoordinator {
  private readonly clock: Clock
  private readonly longestTurnMilliseconds: number
  private readonly waiting = new Map<string, WaitingTurn>()
  private current: { readonly key: string, readonly timer: NodeJS.Timeout, readonly forget: () => void } | undefined

  /**
   * @param clock - ages what waits
   * @param longestTurnMilliseconds - a load that takes longer no longer keeps the others waiting
   */
  constructor (clock: Clock, longestTurnMilliseconds: number) {
    this.clock = clock
    this.longestTurnMilliseconds = longestTurnMilliseconds
  }

  /**
   * Waits for a turn; asking again for the same one takes the place of the earlier ask.
   *
   * @param signal - ends with the asker's connection: what it waits for or holds lapses
   * @returns whether the turn was granted
   */
  async acquire (holder: InstanceId, turn: string, urgency: number, signal: AbortSignal): Promise<boolean> {
    const key = keyOf(holder, turn)
    this.cancelWait(key)
    const endTurn = (): void => this.endTurn(key)
    const forget = (): void => signal.removeEventListener('abort', endTurn)
    signal.addEventListener('abort', endTurn, { once: true })
    return await new Promise<boolean>((resolve) => {
      this.waiting.set(key, { holder, turn, urgency, since: this.clock.now(), grant: resolve, forget })
      if (signal.aborted) this.endTurn(key)
      else this.next()
    })
  }

  /** Takes a turn back. */
  done (holder: InstanceId, turn: string): void {
    this.endTurn(keyOf(holder, turn))
  }

  private endTurn (key: string): void {
    this.cancelWait(key)
    if (this.current?.key !== key) return
    clearTimeout(this.current.timer)
    this.current.forget()
    this.current = undefined
    this.next()
  }

  private cancelWait (key: string): void {
    const waiting = this.waiting.get(key)
    this.waiting.delete(key)
    waiting?.forget()
    waiting?.grant(false)
  }

  private next (): void {
    if (this.current !== undefined) return
    const [first] = [...this.waiting.entries()].sort(([, one], [, other]) => this.weight(other) - this.weight(one))
    if (first === undefined) return
    const [key, waiting] = first
    this.waiting.delete(key)
    this.current = { key, timer: setTimeout(() => this.endTurn(key), this.longestTurnMilliseconds), forget: waiting.forget }
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
