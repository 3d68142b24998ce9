/** Faults that kill, replace, pause or disconnect an entry instance. */
import { pickEntry, Fault, runRecorded, sleepBetween } from '../fault.js'
import type { FaultContext } from '../fault.js'
import { ProcessEntryHost } from '../process-entry-host.js'

/** Kills an instance without a planned stop, then starts a replacement. Does nothing while only one instance runs. */
export class KillInstance extends Fault {
  override readonly kind = 'kill-instance'
  override readonly needsProcesses = true

  override async run (context: FaultContext): Promise<void> {
    const entry = pickEntry(context)
    if (entry === undefined || context.deployment.entries.length < 2) return
    await context.deployment.killEntry(entry)
    await context.deployment.addEntry()
  }
}

/** Starts a replacement for an instance, then stops that instance as planned. */
export class StopInstance extends Fault {
  override readonly kind = 'stop-instance'

  override async run (context: FaultContext): Promise<void> {
    const entry = pickEntry(context)
    if (entry === undefined) return
    await context.deployment.addEntry()
    await context.deployment.stopEntry(entry)
  }
}

/**
 * Pauses the process of an instance, then resumes the process with its state unchanged. The pause lasts longer than the
 * time without heartbeats after which the peers suspect the instance.
 */
export class PauseInstance extends Fault {
  override readonly kind = 'pause-instance'
  override readonly needsProcesses = true

  override async run (context: FaultContext): Promise<void> {
    const entry = pickEntry(context)
    if (entry === undefined || !(entry.host instanceof ProcessEntryHost) || context.deployment.entries.length < 2) return
    const { host } = entry
    await runRecorded(context, this.kind, [entry], async () => {
      host.pause()
      await sleepBetween(context, 1_000, 2_500)
      host.resume()
    })
  }
}

/** Cuts the link between an instance and the platform, while callers and peers can still reach the instance. */
export class CutFromPlatform extends Fault {
  override readonly kind = 'cut-from-platform'

  override async run (context: FaultContext): Promise<void> {
    const entry = pickEntry(context)
    if (entry === undefined) return
    await runRecorded(context, this.kind, [entry], async () => {
      entry.link.cut()
      await sleepBetween(context, 500, 2_000)
      entry.link.restore()
    })
  }
}
