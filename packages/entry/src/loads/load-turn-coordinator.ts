/**
 * The coordinator's side of load turns: grants the instances one turn at a time. A turn is the right to load one adapter now.
 * coordinated-load-turns.ts contains the side that requests turns.
 */
import type { Clock, InstanceId } from '@limpetwinch/core'

interface WaitingTurn {
  /** The instance that requested the turn. */
  readonly holder: InstanceId
  readonly turn: string
  readonly urgency: number
  /** When the wait began, monotonic milliseconds. */
  readonly since: number
  readonly grant: (granted: boolean) => void
  /**
   * Removes the listener for the end of the instance's connection. The connection far outlives the turn, so listeners that are
   * not removed would accumulate.
   */
  readonly removeListener: () => void
}

/** Grants turns by urgency. The waiting and granted turns are never handed over: a new coordinator starts without any. */
export class LoadTurnCoordinator {
  private readonly clock: Clock
  private readonly longestTurnMilliseconds: number
  private readonly waiting = new Map<string, WaitingTurn>()
  private current: { readonly key: string, readonly timer: NodeJS.Timeout, readonly removeListener: () => void } | undefined

  /**
   * @param clock - measures how long turns have waited
   * @param longestTurnMilliseconds - time after which a turn ends even if it was not released, so that a slow load does
   *   not delay other loads for longer
   */
  constructor (clock: Clock, longestTurnMilliseconds: number) {
    this.clock = clock
    this.longestTurnMilliseconds = longestTurnMilliseconds
  }

  /**
   * Waits for a turn. A second request for the same turn replaces the first one.
   *
   * @param holder - the requesting instance
   * @param turn - id of the turn, unique within the instance
   * @param urgency - how long requests have been stalled by the missing adapter, milliseconds, weighted by the load ordering
   *   policy; the highest urgency is granted first
   * @param signal - aborted when the connection of the requesting instance ends, which ends the wait or the turn
   * @returns whether the turn was granted
   */
  async acquire (holder: InstanceId, turn: string, urgency: number, signal: AbortSignal): Promise<boolean> {
    const key = keyOf(holder, turn)
    this.cancelWait(key)
    const endTurn = (): void => this.endTurn(key)
    const removeListener = (): void => signal.removeEventListener('abort', endTurn)
    signal.addEventListener('abort', endTurn, { once: true })
    return await new Promise<boolean>((resolve) => {
      this.waiting.set(key, { holder, turn, urgency, since: this.clock.now(), grant: resolve, removeListener })
      if (signal.aborted) this.endTurn(key)
      else this.next()
    })
  }

  /** Ends a granted turn, or the wait for a turn that was not granted yet. */
  done (holder: InstanceId, turn: string): void {
    this.endTurn(keyOf(holder, turn))
  }

  private endTurn (key: string): void {
    this.cancelWait(key)
    if (this.current?.key !== key) return
    clearTimeout(this.current.timer)
    this.current.removeListener()
    this.current = undefined
    this.next()
  }

  private cancelWait (key: string): void {
    const waiting = this.waiting.get(key)
    this.waiting.delete(key)
    waiting?.removeListener()
    waiting?.grant(false)
  }

  private next (): void {
    if (this.current !== undefined) return
    const [first] = [...this.waiting.entries()].sort(([, one], [, other]) => this.weight(other) - this.weight(one))
    if (first === undefined) return
    const [key, waiting] = first
    this.waiting.delete(key)
    this.current = { key, timer: setTimeout(() => this.endTurn(key), this.longestTurnMilliseconds), removeListener: waiting.removeListener }
    waiting.grant(true)
  }

  /** @returns the urgency plus 1 for each millisecond of waiting, so that every waiting turn is granted eventually */
  private weight (waiting: WaitingTurn): number {
    return waiting.urgency + this.clock.now() - waiting.since
  }
}

function keyOf (holder: InstanceId, turn: string): string {
  return `${holder} ${turn}`
}
