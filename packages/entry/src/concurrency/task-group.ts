/** Groups the background tasks of one component. A failed task is logged and does not affect the other tasks. */
import type { Logger } from '@limpetwinch/core'

/** A set of running background tasks. */
export class TaskGroup {
  private readonly logger: Logger
  private readonly tasks = new Set<Promise<void>>()

  /** @param logger - logs failed tasks */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** Starts a task. If the task fails, the failure is logged and reaches neither the caller nor the other tasks. */
  spawn (label: string, task: () => Promise<void>): void {
    const running = task().catch((cause: unknown) => {
      const reason = cause instanceof Error ? cause.stack : String(cause)
      this.logger.error('A task failed.', { task: label, reason })
    }).finally(() => { this.tasks.delete(running) })
    this.tasks.add(running)
  }

  /** Waits until all tasks have ended, including tasks that are started during the wait. */
  async settle (): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks)
  }
}
