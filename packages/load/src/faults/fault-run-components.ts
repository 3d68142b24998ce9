/** The components of instances in fault runs. */
import { EntryComponents } from '@limpetwinch/entry'

/**
 * Default components with shorter recovery times of a new owner. Shorter times are safe in a fault run, because its
 * instance list lags by 0.1 s instead of seconds and all programs share one clock. With the default times no endpoint
 * would evict anything within a run.
 */
export class FaultRunComponents extends EntryComponents {
  override recoveryTimes (): ReturnType<EntryComponents['recoveryTimes']> {
    return { callTimeout: 500, settle: 600, maximumClockSkew: 50, reportInterval: 100 }
  }
}
