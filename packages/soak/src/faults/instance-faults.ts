/** Faults of ingress instances: signals from outside, and their link to the store. */
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

/** How long a process takes to end by itself after SIGTERM, and then some. */
const STOP_TIMEOUT_MILLISECONDS = 12_000
const EXIT_CHECK_INTERVAL_MILLISECONDS = 50

/** Killed and started again. */
export class KillInstance extends SoakFault {
  override readonly kind = 'kill-instance'

  override async run (site: SoakEnvironment): Promise<void> {
    const found = this.pickRunningInstance(site)
    if (found === undefined) return
    await this.recordWhile(site, found.instance.name, async () => {
      site.signal(found.instance, 'SIGKILL')
      await site.wait(300, 2_000)
      await site.relaunch(found.index, found.instance)
    })
  }
}

/** All killed at once and started again: only the store remembers. */
export class KillAllInstances extends SoakFault {
  override readonly kind = 'kill-all-instances'

  override async run (site: SoakEnvironment): Promise<void> {
    await this.recordWhile(site, undefined, async () => {
      const killed = [...site.instances]
      for (const instance of killed) site.signal(instance, 'SIGKILL')
      await site.wait(300, 1_500)
      await Promise.all(killed.map(async (instance, index) => await site.relaunch(index, instance)))
    })
  }
}

/** Asked to stop, waited for, and started again. Callers go on using their connections until it is gone. */
export class StopInstance extends SoakFault {
  override readonly kind = 'stop-instance'

  override async run (site: SoakEnvironment): Promise<void> {
    const found = this.pickRunningInstance(site)
    if (found === undefined) return
    const { instance, index } = found
    await this.recordWhile(site, instance.name, async () => {
      site.signal(instance, 'SIGTERM')
      const end = performance.now() + STOP_TIMEOUT_MILLISECONDS
      while (!instance.process.hasEnded && performance.now() < end) await site.wait(EXIT_CHECK_INTERVAL_MILLISECONDS, EXIT_CHECK_INTERVAL_MILLISECONDS)
      if (!instance.process.hasEnded) site.record.addLostInstance(instance.name, `it did not end within ${STOP_TIMEOUT_MILLISECONDS} ms of SIGTERM`)
      site.signal(instance, 'SIGKILL')
      await site.relaunch(index, instance)
    })
  }
}

/** Paused as a whole, and woken. */
export class PauseInstance extends SoakFault {
  override readonly kind = 'pause-instance'

  override async run (site: SoakEnvironment): Promise<void> {
    const found = this.pickRunningInstance(site)
    if (found === undefined) return
    await this.recordWhile(site, found.instance.name, async () => {
      site.signal(found.instance, 'SIGSTOP')
      await site.wait(300, 4_000)
      site.signal(found.instance, 'SIGCONT')
    })
  }
}

/** The settings file is said to have changed. */
export class ReloadInstance extends SoakFault {
  override readonly kind = 'reload-instance'

  override async run (site: SoakEnvironment): Promise<void> {
    const found = this.pickRunningInstance(site)
    if (found === undefined) return
    const { processId } = found.instance.process
    if (processId !== undefined) process.kill(processId, 'SIGHUP')
    await site.wait(100, 500)
  }
}

/** Its connections to the store fall silent; later they are reset and new ones work. */
export class StallStoreLink extends SoakFault {
  override readonly kind = 'cut-from-store'

  override async run (site: SoakEnvironment): Promise<void> {
    const found = this.pickRunningInstance(site)
    const link = found === undefined ? undefined : site.linkOf(found.index)
    if (found === undefined || link === undefined) return
    await this.recordWhile(site, found.instance.name, async () => {
      link.cut()
      await site.wait(500, 5_000)
      link.restore()
    })
  }
}

/** Its connections to the store are reset. */
export class ResetStoreLink extends SoakFault {
  override readonly kind = 'reset-from-store'

  override async run (site: SoakEnvironment): Promise<void> {
    const found = this.pickRunningInstance(site)
    if (found === undefined) return
    await this.recordWhile(site, found.instance.name, async () => {
      site.linkOf(found.index)?.reset()
      await site.wait(50, 300)
    })
  }
}
