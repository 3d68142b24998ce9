/** Faults outside instances and engines: in the platform, in plain services, and between operators who change settings. */
import type { PlatformFaults, ServiceFaults } from '@limpetwinch/stand-ins'
import { Fault, runRecorded, sleepBetween } from '../fault.js'
import type { FaultContext } from '../fault.js'
import { TEAMS } from '../sample-deployment.js'

/** A temporary fault of the platform's object API. No instance is required to apply new settings while the fault lasts. */
abstract class StoreFault extends Fault {
  /** Fault settings that the platform receives when the fault begins. */
  protected abstract readonly set: PlatformFaults
  /** Fault settings that the platform receives when the fault ends. */
  protected abstract readonly unset: PlatformFaults

  override async run (context: FaultContext): Promise<void> {
    const { deployment } = context
    await runRecorded(context, this.kind, deployment.entries, async () => {
      deployment.platform.setFaults(this.set)
      await sleepBetween(context, 500, 2_000)
      deployment.platform.setFaults(this.unset)
    })
  }
}

/** The platform's object API and its instance list refuse every call. */
export class StoreOutage extends StoreFault {
  override readonly kind = 'store-out'
  protected override readonly set = { outage: true }
  protected override readonly unset = { outage: false }
}

/** Each call of the object API takes 300 ms longer. */
export class SlowStore extends StoreFault {
  override readonly kind = 'store-slow'
  protected override readonly set = { slowness: 300 }
  protected override readonly unset = { slowness: 0 }
}

/** The next four writes to the object API take effect, but the connection is cut before their responses are sent. */
export class LoseWriteAnswers extends StoreFault {
  override readonly kind = 'lose-write-answers'
  protected override readonly set = { loseAnswers: 4 }
  protected override readonly unset = { loseAnswers: 0 }
}

/** Plain services refuse or fail some requests before these run, and fail some requests after these have run. */
export class ServicesFail extends Fault {
  override readonly kind = 'services-fail'

  override async run (context: FaultContext): Promise<void> {
    const set: ServiceFaults = { refuseBefore: 1, failBefore: 1, failAfter: 3 }
    for (const service of context.deployment.services) service.setFaults(set)
    await sleepBetween(context, 300, 1_500)
    for (const service of context.deployment.services) service.setFaults({ refuseBefore: 0, failBefore: 0, failAfter: 0 })
  }
}

/** Two operators repeatedly change the settings of one team at the same time, each on top of the same revision. */
export class RacingOperators extends Fault {
  override readonly kind = 'racing-operators'

  override async run (context: FaultContext): Promise<void> {
    const { deployment, random } = context
    const team = random.pick(TEAMS)
    for (let round = 0; round < 3; round += 1) {
      await Promise.all(['one', 'other'].map(async (author) => await deployment.changeTeam(team, author)))
      await sleepBetween(context, 50, 300)
    }
  }
}
