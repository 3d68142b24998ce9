/**
 * Requests admission at another engine while a stalled run may still recover. The run is abandoned only when the other
 * engine has admitted the request.
 */
import type { Route } from '../routing/router.js'
import { LinkedAbort } from '../runtime/linked-abort.js'
import type { HeldAdmission } from './admission-client.js'

/** An admission, and the route to the engine that the admission is for. */
export interface Admitted {
  readonly held: HeldAdmission
  readonly route: Route
}

/**
 * Requests admission at another endpoint.
 *
 * @returns the admission, or undefined if none is available now
 */
export type AdmitElsewhere = (signal: AbortSignal) => Promise<Admitted | undefined>

/**
 * The replacement admission of one run. The admission is requested when the run stalls. The request is cancelled if the run
 * recovers, and a replacement is secured, which means admitted and kept, at most once.
 */
export class ReplacementAdmission {
  private readonly admitElsewhere: AdmitElsewhere
  private readonly onSecured: () => void
  private readonly signal: AbortSignal
  private pending: { readonly abort: LinkedAbort, readonly done: Promise<void> } | undefined
  private secured: Admitted | undefined
  /** Whether a replacement was ever requested, which means that the run has stalled at least once. */
  everRequested = false

  /**
   * @param admitElsewhere - requests the admission
   * @param onSecured - called when a replacement is secured and the run may be abandoned
   * @param signal - cancels every admission request
   */
  constructor (admitElsewhere: AdmitElsewhere, onSecured: () => void, signal: AbortSignal) {
    this.admitElsewhere = admitElsewhere
    this.onSecured = onSecured
    this.signal = signal
  }

  /** Requests a replacement, unless an admission request is in progress or a replacement is secured already. */
  request (): void {
    this.everRequested = true
    if (this.pending !== undefined || this.secured !== undefined || this.signal.aborted) return
    const abort = new LinkedAbort(this.signal)
    this.pending = { abort, done: this.settle(abort) }
  }

  /** Cancels an admission request in progress, because the run has recovered. A secured replacement is kept. */
  cancelRequest (): void {
    this.pending?.abort.abort()
  }

  /**
   * Waits for an admission request in progress.
   *
   * @returns the secured replacement, if any, which the caller then has to end
   */
  async take (): Promise<Admitted | undefined> {
    await this.pending?.done
    const { secured } = this
    this.secured = undefined
    return secured
  }

  /** Cancels an admission request in progress and withdraws a secured replacement. */
  async release (): Promise<void> {
    this.cancelRequest()
    const secured = await this.take()
    secured?.held.done('withdrawn', 0)
  }

  private async settle (abort: LinkedAbort): Promise<void> {
    const admitted = await this.admitElsewhere(abort.signal)
    abort.unlink()
    this.pending = undefined
    if (admitted === undefined) return
    if (abort.signal.aborted) return admitted.held.done('withdrawn', 0)
    this.secured = admitted
    this.onSecured()
  }
}
