/** An abort of one's own that also follows another signal, and lets go of it when it is no longer needed. */

/** Costs one listener, where AbortSignal.any keeps a list that is cleared only by garbage collection. */
export class LinkedAbort {
  private readonly controller = new AbortController()
  private readonly parent: AbortSignal
  private readonly onParentAbort = (): void => this.controller.abort()

  /** @param parent - the signal to follow */
  constructor (parent: AbortSignal) {
    this.parent = parent
    if (parent.aborted) this.controller.abort()
    else parent.addEventListener('abort', this.onParentAbort, { once: true })
  }

  /** Aborted by the parent or by {@link LinkedAbort.abort}. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Aborts, whatever the parent does. */
  abort (): void {
    this.controller.abort()
  }

  /** Follows the parent no longer. */
  unlink (): void {
    this.parent.removeEventListener('abort', this.onParentAbort)
  }
}
