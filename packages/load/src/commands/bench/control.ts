/** Command `limpetwinch-load bench control`. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Command, Flags } from '@oclif/core'
import { ControlDeployment } from '../../bench/control/control-deployment.js'
import { measureKilledOwner, measureIdle, measureUnresponsiveInstance } from '../../bench/control/control-phases.js'
import type { IdleFigures } from '../../bench/control/control-phases.js'
import { describeMachine } from '../../bench/path/machine.js'
import type { Machine } from '../../bench/path/machine.js'

/** Measurements with one number of instances. */
interface SizeFigures {
  readonly instances: number
  readonly rest: IdleFigures
  /** Milliseconds until a paused instance was suspect for all others; undefined when this took more than a minute. */
  readonly silentPeer: number | undefined
  /** Milliseconds until the endpoints of a killed owner were healthy under new owners; undefined after a minute or with one instance. */
  readonly killedOwner: number | undefined
}

/** Measures the control traffic between instances and how soon failed instances are replaced. */
export default class BenchControl extends Command {
  static override description = 'Measure the coordination of instances with real processes: bytes, processor time and store calls without requests, and the time until an unresponsive instance is suspected and a killed owner is replaced.'
  static override enableJsonFlag = true
  static override flags = {
    instances: Flags.string({ default: '2,4,8', description: 'numbers of instances, one deployment each' }),
    engines: Flags.integer({ default: 4, min: 1, description: 'engines of each deployment' }),
    settle: Flags.integer({ default: 15, min: 0, description: 'seconds before the idle measurement, in which ownership of the engines is balanced' }),
    seconds: Flags.integer({ default: 10, min: 2, description: 'duration of the idle measurement in seconds' })
  }

  override async run (): Promise<{ machine: Machine, engines: number, sizes: SizeFigures[] }> {
    const { flags } = await this.parse(BenchControl)
    const machine = await describeMachine()
    const sizes: SizeFigures[] = []
    for (const text of flags.instances.split(',')) {
      const figures = await this.measure(Number(text), flags.engines, flags.settle, flags.seconds)
      this.print(figures)
      sizes.push(figures)
    }
    return { machine, engines: flags.engines, sizes }
  }

  private async measure (instances: number, engines: number, settle: number, seconds: number): Promise<SizeFigures> {
    const deployment = new ControlDeployment()
    try {
      const started = await deployment.start(instances, engines)
      if (started.isErr()) this.error(started.error.message, { exit: 1 })
      await sleep(1_000 * settle)
      const rest = await measureIdle(deployment, seconds)
      const silentPeer = await measureUnresponsiveInstance(deployment)
      const killedOwner = await measureKilledOwner(deployment)
      return { instances, rest, silentPeer, killedOwner }
    } finally {
      await deployment.stop()
    }
  }

  private print ({ instances, rest, silentPeer, killedOwner }: SizeFigures): void {
    const { bytesPerSecond, processorShare, storeReadsPerSecond, storeWritesPerSecond, storeWatchesPerSecond } = rest
    this.log(`${instances} instances without requests: ${bytesPerSecond.toFixed(0)} bytes/s and ${(100 * processorShare).toFixed(2)}% of a core each`)
    this.log(`  store calls/s of all instances: ${storeReadsPerSecond.toFixed(2)} reads, ${storeWritesPerSecond.toFixed(2)} writes, ${storeWatchesPerSecond.toFixed(2)} watches`)
    this.log(`  paused instance suspect after ${silentPeer?.toFixed(0) ?? 'more than 60000'} ms, killed owner replaced after ${killedOwner?.toFixed(0) ?? 'more than 60000'} ms`)
  }
}
