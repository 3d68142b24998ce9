/** Supervision of long-lived tasks, which are restarted after a crash and stopped together. */
import type { Clock, Logger } from '@limpetwinch/core'

/** Delay before the first restart of a crashed task; the delay doubles with each further crash. */
const INITIAL_RESTART_DELAY_MILLISECONDS = 50
/** Maximum delay before a restart of a crashed task. */
const MAXIMUM_RESTART_DELAY_MILLISECONDS = 5_000

/** A long-lived task, which ends when the signal passed to it is aborted. */
export type Task = (signal: AbortSignal) => Promise<void>

/**
 * A node of the supervisor tree. A crashed task is restarted after an increasing delay while the other tasks continue, so
 * that one broken connection or response does not take down the instance.
 */
export class Supervisor {
  private readonly controller = new AbortController()
  private readonly running = new Set<Promise<void>>()
  private readonly logger: Logger
  private readonly clock: Clock

  /**
   * @param logger - logs crashes
   * @param clock - measures the delays before restarts
   */
  constructor (logger: Logger, clock: Clock) {
    this.logger = logger
    this.clock = clock
  }

  /** The signal of this node, aborted when the node is stopped. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /**
   * Starts a task.
   *
   * @param name - name of the task, for the log
   * @param task - the task
   * @param signal - stops only this task
   * @returns a promise that resolves when the task has ended and will not be restarted
   */
  start (name: string, task: Task, signal?: AbortSignal): Promise<void> {
    // Each task gets its own signal. On a shared signal, Node.js would report the listeners of a dozen healthy tasks as a leak,
    // and a real leak in one task could not be distinguished from the listeners of the other tasks.
    const taskSignal = AbortSignal.any(signal === undefined ? [this.signal] : [this.signal, signal])
    const ended = this.runWithRestarts(name, task, taskSignal)
    this.running.add(ended)
    void ended.finally(() => this.running.delete(ended))
    return ended
  }

  /** @returns a child node, which is stopped together with this node */
  child (label: string): Supervisor {
    const child = new Supervisor(this.logger.part(label), this.clock)
    this.signal.addEventListener('abort', () => { void child.stop() })
    return child
  }

  /** Stops all tasks and waits until they have ended. */
  async stop (): Promise<void> {
    this.controller.abort()
    await Promise.allSettled([...this.running])
  }

  private async runWithRestarts (name: string, task: Task, signal: AbortSignal): Promise<void> {
    let delay = INITIAL_RESTART_DELAY_MILLISECONDS
    while (!signal.aborted) {
      try {
        await task(signal)
        return
      } catch (cause) {
        if (signal.aborted) return
        this.logger.error('A task crashed and is started again.', { task: name, reason: cause instanceof Error ? cause.stack : String(cause) })
        await this.clock.sleep(delay, signal)
        delay = Math.min(MAXIMUM_RESTART_DELAY_MILLISECONDS, 2 * delay)
      }
    }
  }
}
