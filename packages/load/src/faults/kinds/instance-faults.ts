/** Faults of entry instances. */
import { pickEntry, Fault, runRecorded, sleepBetween } from '../fault.js'
import type { FaultContext } from '../fault.js'
import { ProcessEntryHost } from '../process-entry-host.js'

/** An instance ends at once and is replaced. */
export class KillInstance extends Fault {
  override readonly kind = 'kill-instance'
  override readonly needsProcesses = true

  override async run (site: FaultContext): Promise<void> {
    const entry = pickEntry(site)
    if (entry === undefined || site.deployment.entries.length < 2) return
    await site.deployment.killEntry(entry)
    await site.deployment.addEntry()
  }
}

/** An instance is replaced as planned. */
export class StopInstance extends Fault {
  override readonly kind = 'stop-instance'

  override async run (site: FaultContext): Promise<void> {
    const entry = pickEntry(site)
    if (entry === undefined) return
    await site.deployment.addEntry()
    await site.deployment.stopEntry(entry)
  }
}

/** An instance does nothing for longer than its peers wait, and goes on as if nothing had been. */
export class PauseInstance extends Fault {
  override readonly kind = 'pause-instance'
  override readonly needsProcesses = true

  override async run (site: FaultContext): Promise<void> {
    const entry = pickEntry(site)
    if (entry === undefined || !(entry.host instanceof ProcessEntryHost) || site.deployment.entries.length < 2) return
    const { host } = entry
    await runRecorded(site, this.kind, [entry], async () => {
      host.pause()
      await sleepBetween(site, 1_000, 2_500)
      host.resume()
    })
  }
}

/** An instance reaches the platform no more, and is reached by all others. */
export class CutFromPlatform extends Fault {
  override readonly kind = 'cut-from-platform'

  override async run (site: FaultContext): Promise<void> {
    const entry = pickEntry(site)
    if (entry === undefined) return
    await runRecorded(site, this.kind, [entry], async () => {
      entry.link.cut()
      await sleepBetween(site, 500, 2_000)
      entry.link.restore()
    })
  }
}
