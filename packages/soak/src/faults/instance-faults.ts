/** Faults of ingress instances: signals sent to a process, and faults of its link to the store. */
import type { SoakEnvironment } from '../soak-environment.js'
import { SILENT_CONNECTIONS } from '../soak-record.js'
import { SoakFault } from './soak-fault.js'

/** Longer than an instance needs to end by itself after SIGTERM. */
const STOP_TIMEOUT_MILLISECONDS = 12_000
const EXIT_CHECK_INTERVAL_MILLISECONDS = 50

/** Kills an instance and starts it again. */
export class KillInstance extends SoakFault {
  override readonly kind = 'kill-instance'

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    if (picked === undefined) return
    await this.recordWhile(environment, picked.instance.name, async () => {
      environment.signal(picked.instance, 'SIGKILL')
      await environment.wait(300, 2_000)
      await environment.relaunch(picked.index, picked.instance)
    })
  }
}

/** Kills all instances at once and starts them again: only the state in the store survives. */
export class KillAllInstances extends SoakFault {
  override readonly kind = 'kill-all-instances'

  override async run (environment: SoakEnvironment): Promise<void> {
    await this.recordWhile(environment, undefined, async () => {
      const killed = [...environment.instances]
      for (const instance of killed) environment.signal(instance, 'SIGKILL')
      await environment.wait(300, 1_500)
      await Promise.all(killed.map(async (instance, index) => await environment.relaunch(index, instance)))
    })
  }
}

/** Stops an instance with SIGTERM, waits for its end and starts it again. Callers keep using their connections until the process ends. */
export class StopInstance extends SoakFault {
  override readonly kind = 'stop-instance'

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    if (picked === undefined) return
    const { instance, index } = picked
    await this.recordWhile(environment, instance.name, async () => {
      environment.signal(instance, 'SIGTERM')
      const deadline = performance.now() + STOP_TIMEOUT_MILLISECONDS
      while (!instance.process.hasEnded && performance.now() < deadline) await environment.wait(EXIT_CHECK_INTERVAL_MILLISECONDS, EXIT_CHECK_INTERVAL_MILLISECONDS)
      if (!instance.process.hasEnded) environment.record.addLostInstance(instance.name, `it did not end within ${STOP_TIMEOUT_MILLISECONDS} ms of SIGTERM`)
      environment.signal(instance, 'SIGKILL')
      await environment.relaunch(index, instance)
    })
  }
}

/** Pauses the process of an instance and resumes it. */
export class PauseInstance extends SoakFault {
  override readonly kind = 'pause-instance'

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    if (picked === undefined) return
    await this.recordWhile(environment, picked.instance.name, async () => {
      environment.signal(picked.instance, 'SIGSTOP')
      await environment.wait(300, 4_000)
      environment.signal(picked.instance, 'SIGCONT')
    })
  }
}

/** Makes an instance reload its settings file, with SIGHUP. */
export class ReloadInstance extends SoakFault {
  override readonly kind = 'reload-instance'

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    if (picked === undefined) return
    const { processId } = picked.instance.process
    if (processId !== undefined) process.kill(processId, 'SIGHUP')
    await environment.wait(100, 500)
  }
}

/** Stops all traffic between an instance and the store; later the open connections are closed and new ones work. */
export class StallStoreLink extends SoakFault {
  override readonly kind = 'cut-from-store'

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    const link = picked === undefined ? undefined : environment.linkOf(picked.index)
    if (picked === undefined || link === undefined) return
    await this.recordWhile(environment, picked.instance.name, async () => {
      link.cut()
      await environment.wait(500, 5_000)
      link.restore()
    })
  }
}

/** Lets open connections between instances and the store fall silent for good, all or half of them; new ones work. */
export class SilenceStoreConnections extends SoakFault {
  override readonly kind = SILENT_CONNECTIONS

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, instances } = environment
    const picked = random.pick<'one' | 'all'>(['one', 'all'])
    const isPartial = random.pick([true, false])
    const indexes = picked === 'all' ? [...instances.keys()] : [random.between(0, instances.length - 1)]
    await this.recordWhile(environment, undefined, async () => {
      for (const index of indexes) environment.linkOf(index)?.silenceOpen(() => !isPartial || random.pick([true, false]))
      await environment.wait(50, 300)
    })
  }
}

/** Resets the connections of an instance to the store. */
export class ResetStoreLink extends SoakFault {
  override readonly kind = 'reset-from-store'

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    if (picked === undefined) return
    await this.recordWhile(environment, picked.instance.name, async () => {
      environment.linkOf(picked.index)?.reset()
      await environment.wait(50, 300)
    })
  }
}
