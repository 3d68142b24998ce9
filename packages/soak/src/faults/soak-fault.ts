/** A fault of a soak run. */
import type { LaunchedInstance } from '@limpetwinch/platform'
import type { FaultSpan } from '../soak-record.js'
import type { SoakEnvironment } from '../soak-environment.js'

/** Something that goes wrong for a while. */
export abstract class SoakFault {
  /** Its name in records and on the command line. */
  abstract readonly kind: string

  /** Lets it happen; ends when everything is as before, or the next thing has taken its place. */
  abstract run (site: SoakEnvironment): Promise<void>

  /** Notes it while it lasts. */
  protected async recordWhile (site: SoakEnvironment, target: string | undefined, what: (span: FaultSpan) => Promise<void>): Promise<void> {
    const span = site.record.beginFault(this.kind, target)
    try {
      await what(span)
    } finally {
      span.to = Date.now()
    }
  }

  /** @returns an instance that runs, with its number; undefined when all are down */
  protected pickRunningInstance (site: SoakEnvironment): { readonly index: number, readonly instance: LaunchedInstance } | undefined {
    const running = site.instances.flatMap((instance, index) => instance.process.hasEnded ? [] : [{ index, instance }])
    return running.length === 0 ? undefined : site.random.pick(running)
  }
}
