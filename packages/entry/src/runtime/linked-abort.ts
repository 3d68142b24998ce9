/** An abort controller that also follows a parent signal and can be detached from it. */

/**
 * An abort controller whose signal aborts when the parent signal aborts, or when {@link LinkedAbort.abort} is called. Each LinkedAbort
 * adds one listener to the parent signal, and {@link LinkedAbort.unlink} removes this listener. AbortSignal.any offers no such removal:
 * the parent signal keeps a list of the signals derived from it, which only garbage collection clears.
 */
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

  /** The signal, aborted by the parent signal or by {@link LinkedAbort.abort}. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Aborts the signal independently of the parent signal. */
  abort (): void {
    this.controller.abort()
  }

  /** Stops following the parent signal and removes the listener from it. */
  unlink (): void {
    this.parent.removeEventListener('abort', this.onParentAbort)
  }
}
