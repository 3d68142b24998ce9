/** The tasks of one part: a task that fails is said in the log and ends alone. */
import type { Logger } from '@limpetwinch/core'

/** Running tasks. */
export class TaskGroup {
  private readonly logger: Logger
  private readonly tasks = new Set<Promise<void>>()

  /** @param logger - where a failed task is said */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** Starts a task; its failure reaches neither the caller nor the other tasks. */
  spawn (label: string, task: () => Promise<void>): void {
    const running = task().catch((cause: unknown) => {
      const reason = cause instanceof Error ? cause.stack : String(cause)
      this.logger.error('A task failed.', { task: label, reason })
    }).finally(() => { this.tasks.delete(running) })
    this.tasks.add(running)
  }

  /** Waits until all tasks have ended, those started meanwhile included. */
  async settle (): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks)
  }
}
