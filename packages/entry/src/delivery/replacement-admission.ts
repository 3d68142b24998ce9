/** Secures another admission while the run before it may still go on, so that a run is given up only for something better. */
import type { Route } from '../routing/router.js'
import { LinkedAbort } from '../runtime/linked-abort.js'
import type { HeldAdmission } from './admission-client.js'

/** An admission and where it holds. */
export interface Admitted {
  readonly held: HeldAdmission
  readonly route: Route
}

/** Asks for an admission elsewhere. @returns undefined when none can be had now */
export type AdmitElsewhere = (signal: AbortSignal) => Promise<Admitted | undefined>

/** The replacement of one run: sought, dropped when the run goes on after all, or secured once. */
export class ReplacementAdmission {
  private readonly ask: AdmitElsewhere
  private readonly onSecured: () => void
  private readonly signal: AbortSignal
  private asking: { readonly abort: LinkedAbort, readonly done: Promise<void> } | undefined
  private secured: Admitted | undefined
  /** Whether one was ever sought. */
  everRequested = false

  /**
   * @param ask - asks for the admission
   * @param onSecured - called once, when the run may be given up
   * @param signal - ends every ask
   */
  constructor (ask: AdmitElsewhere, onSecured: () => void, signal: AbortSignal) {
    this.ask = ask
    this.onSecured = onSecured
    this.signal = signal
  }

  /** Asks, unless it does so already. */
  request (): void {
    this.everRequested = true
    if (this.asking !== undefined || this.secured !== undefined || this.signal.aborted) return
    const abort = new LinkedAbort(this.signal)
    this.asking = { abort, done: this.settle(abort) }
  }

  /** The run goes on: an ask under way is withdrawn. What is secured stays so. */
  cancelRequest (): void {
    this.asking?.abort.abort()
  }

  /** @returns what an ask under way comes to, or what was secured before; it is the taker's to end */
  async take (): Promise<Admitted | undefined> {
    await this.asking?.done
    const { secured } = this
    this.secured = undefined
    return secured
  }

  /** Nothing is needed any more. */
  async release (): Promise<void> {
    this.cancelRequest()
    const secured = await this.take()
    secured?.held.done('withdrawn', 0)
  }

  private async settle (abort: LinkedAbort): Promise<void> {
    const admitted = await this.ask(abort.signal)
    abort.unlink()
    this.asking = undefined
    if (admitted === undefined) return
    if (abort.signal.aborted) return admitted.held.done('withdrawn', 0)
    this.secured = admitted
    this.onSecured()
  }
}
