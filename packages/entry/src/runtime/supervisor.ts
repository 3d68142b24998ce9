/** Supervision: long-lived tasks, restarted when they crash, ended together. */
import type { Clock, Logger } from '@limpetwinch/core'

const INITIAL_RESTART_DELAY_MILLISECONDS = 50
const MAXIMUM_RESTART_DELAY_MILLISECONDS = 5_000

/** A long-lived task; it ends when the signal does. */
export type Task = (signal: AbortSignal) => Promise<void>

/**
 * A node of the supervisor tree. A task that crashes is started again after a growing pause, and its siblings go on:
 * one broken connection or answer must not take the instance down.
 */
export class Supervisor {
  private readonly controller = new AbortController()
  private readonly running = new Set<Promise<void>>()
  private readonly logger: Logger
  private readonly clock: Clock

  /**
   * @param logger - hears of crashes
   * @param clock - pauses before restarts
   */
  constructor (logger: Logger, clock: Clock) {
    this.logger = logger
    this.clock = clock
  }

  /** Ends with the tree. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /**
   * Starts a task.
   *
   * @param name - for the log
   * @param task - the task
   * @param signal - ends this task alone
   * @returns a promise that resolves when the task has ended for good
   */
  start (name: string, task: Task, signal?: AbortSignal): Promise<void> {
    // Each task gets a signal of its own: on a shared one the waits of a dozen healthy tasks look like a leak, and a
    // leak in one of them would not be told from its neighbours.
    const own = AbortSignal.any(signal === undefined ? [this.signal] : [this.signal, signal])
    const ended = this.keep(name, task, own)
    this.running.add(ended)
    void ended.finally(() => this.running.delete(ended))
    return ended
  }

  /** @returns a node below this one, ended with it */
  child (label: string): Supervisor {
    const child = new Supervisor(this.logger.part(label), this.clock)
    this.signal.addEventListener('abort', () => { void child.stop() })
    return child
  }

  /** Ends all tasks and waits for them. */
  async stop (): Promise<void> {
    this.controller.abort()
    await Promise.allSettled([...this.running])
  }

  private async keep (name: string, task: Task, signal: AbortSignal): Promise<void> {
    let pause = INITIAL_RESTART_DELAY_MILLISECONDS
    while (!signal.aborted) {
      try {
        await task(signal)
        return
      } catch (cause) {
        if (signal.aborted) return
        this.logger.error('A task crashed and is started again.', { task: name, reason: cause instanceof Error ? cause.stack : String(cause) })
        await this.clock.sleep(pause, signal)
        pause = Math.min(MAXIMUM_RESTART_DELAY_MILLISECONDS, 2 * pause)
      }
    }
  }
}
