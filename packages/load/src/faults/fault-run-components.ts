/** The parts of instances in fault runs. */
import { EntryComponents } from '@limpetwinch/entry'

/**
 * The parts as they ship, with the waits of a new owner cut to what this deployment needs: its list lags by a tenth of
 * a second in place of seconds, and all clocks are one. With the full waits no endpoint would evict anything within a run.
 */
export class FaultRunComponents extends EntryComponents {
  override recoveryTimes (): ReturnType<EntryComponents['recoveryTimes']> {
    return { callTimeout: 500, settle: 600, maximumClockSkew: 50, reportInterval: 100 }
  }
}
