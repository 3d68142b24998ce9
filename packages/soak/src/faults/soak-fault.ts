/** Base class of the faults of a soak run. */
import type { LaunchedInstance } from '@limpetwinch/platform'
import type { FaultSpan } from '../soak-record.js'
import type { SoakEnvironment } from '../soak-environment.js'

/** A fault that lasts for a limited time. */
export abstract class SoakFault {
  /** Name of the fault in records and on the command line. */
  abstract readonly kind: string

  /** Injects the fault; resolves when the fault is cleared, or the affected instance or model server has been replaced. */
  abstract run (environment: SoakEnvironment): Promise<void>

  /** Runs a function and records the fault as active until the function ends. */
  protected async recordWhile (environment: SoakEnvironment, target: string | undefined, inject: (span: FaultSpan) => Promise<void>): Promise<void> {
    const span = environment.record.beginFault(this.kind, target)
    try {
      await inject(span)
    } finally {
      span.to = Date.now()
    }
  }

  /** @returns a random running instance with its index; undefined when no instance is running */
  protected pickRunningInstance (environment: SoakEnvironment): { readonly index: number, readonly instance: LaunchedInstance } | undefined {
    const running = environment.instances.flatMap((instance, index) => instance.process.hasEnded ? [] : [{ index, instance }])
    return running.length === 0 ? undefined : environment.random.pick(running)
  }
}
