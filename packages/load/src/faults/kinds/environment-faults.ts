/** Faults of the platform, of plain services and of operators. */
import type { PlatformFaults, ServiceFaults } from '@limpetwinch/stand-ins'
import { Fault, runRecorded, sleepBetween } from '../fault.js'
import type { FaultContext } from '../fault.js'
import { TEAMS } from '../sample-deployment.js'

/** A fault of the object API; no instance can be expected to see new settings meanwhile. */
abstract class StoreFault extends Fault {
  protected abstract readonly set: PlatformFaults
  protected abstract readonly unset: PlatformFaults

  override async run (site: FaultContext): Promise<void> {
    const { deployment } = site
    await runRecorded(site, this.kind, deployment.entries, async () => {
      deployment.platform.setFaults(this.set)
      await sleepBetween(site, 500, 2_000)
      deployment.platform.setFaults(this.unset)
    })
  }
}

/** The object API and the list are out. */
export class StoreOutage extends StoreFault {
  override readonly kind = 'store-out'
  protected override readonly set = { outage: true }
  protected override readonly unset = { outage: false }
}

/** The object API is slow. */
export class SlowStore extends StoreFault {
  override readonly kind = 'store-slow'
  protected override readonly set = { slowness: 300 }
  protected override readonly unset = { slowness: 0 }
}

/** Writes take effect, and their answers are lost. */
export class LoseWriteAnswers extends StoreFault {
  override readonly kind = 'lose-write-answers'
  protected override readonly set = { loseAnswers: 4 }
  protected override readonly unset = { loseAnswers: 0 }
}

/** Plain services fail before and after they ran. */
export class ServicesFail extends Fault {
  override readonly kind = 'services-fail'

  override async run (site: FaultContext): Promise<void> {
    const set: ServiceFaults = { refuseBefore: 1, failBefore: 1, failAfter: 3 }
    for (const service of site.deployment.services) service.setFaults(set)
    await sleepBetween(site, 300, 1_500)
    for (const service of site.deployment.services) service.setFaults({ refuseBefore: 0, failBefore: 0, failAfter: 0 })
  }
}

/** Two operators change one path on the same revision, again and again. */
export class RacingOperators extends Fault {
  override readonly kind = 'racing-operators'

  override async run (site: FaultContext): Promise<void> {
    const { deployment, random } = site
    const team = random.pick(TEAMS)
    for (let round = 0; round < 3; round += 1) {
      await Promise.all(['one', 'other'].map(async (author) => await deployment.changeTeam(team, author)))
      await sleepBetween(site, 50, 300)
    }
  }
}
