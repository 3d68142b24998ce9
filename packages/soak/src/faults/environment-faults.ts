/** Faults of what stands around the instances: store, model servers, configuration. */
import type { StoreServerFaults } from '@limpetwinch/platform'
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

/** A leaving endpoint goes on serving for a while. */
const LEAVING_MILLISECONDS = { minimum: 3_000, maximum: 4_500 }
/** Shorter ones end within a call's own time and are seen by nobody. */
const MINIMUM_STORE_FAULT_MILLISECONDS = 500

/** A fault of the store that is set and taken back. */
abstract class StoreFault extends SoakFault {
  protected abstract readonly maximumMilliseconds: number
  protected abstract readonly unset: Partial<StoreServerFaults>

  override async run (site: SoakEnvironment): Promise<void> {
    await this.recordWhile(site, undefined, async () => {
      site.deployment.store.setFaults(this.faults(site))
      await site.wait(MINIMUM_STORE_FAULT_MILLISECONDS, this.maximumMilliseconds)
      site.deployment.store.setFaults(this.unset)
    })
  }

  /** @returns what is set */
  protected abstract faults (site: SoakEnvironment): Partial<StoreServerFaults>
}

/** The store refuses, or says nothing. */
export class StoreDown extends StoreFault {
  override readonly kind = 'store-down'
  protected override readonly maximumMilliseconds = 4_000
  protected override readonly unset = { down: 'no' } as const

  protected override faults ({ random }: SoakEnvironment): Partial<StoreServerFaults> {
    return { down: random.pick(['refuse', 'silent'] as const) }
  }
}

/** The store is slow. */
export class StoreSlow extends StoreFault {
  override readonly kind = 'store-slow'
  protected override readonly maximumMilliseconds = 3_000
  protected override readonly unset = { slowMilliseconds: 0 }

  protected override faults ({ random }: SoakEnvironment): Partial<StoreServerFaults> {
    return { slowMilliseconds: random.between(50, 600) }
  }
}

/** Writes take effect, and their answers are lost. */
export class StoreLosesResponses extends StoreFault {
  override readonly kind = 'store-loses-answers'
  protected override readonly maximumMilliseconds = 2_000
  protected override readonly unset = { loseAnswers: 0 }

  protected override faults ({ random }: SoakEnvironment): Partial<StoreServerFaults> {
    return { loseAnswers: random.between(1, 6) }
  }
}

/** The store forgets its history. */
export class CompactStore extends SoakFault {
  override readonly kind = 'store-forgets'

  override async run (site: SoakEnvironment): Promise<void> {
    await this.recordWhile(site, undefined, async () => {
      site.deployment.store.objects.compact()
      await site.wait(50, 200)
    })
  }
}

/** A model server ends without a word; its entry lapses, and another one comes. */
export class CrashEngine extends SoakFault {
  override readonly kind = 'crash-engine'

  override async run (site: SoakEnvironment): Promise<void> {
    const engine = site.random.pick(site.deployment.engines.filter(({ hasEnded: isOver }) => !isOver))
    await this.recordWhile(site, engine.options.id, async () => {
      await engine.crash()
      await site.wait(800, 1_500)
      await engine.removeEntry()
      await site.deployment.addEngine()
    })
  }
}

/** A model server says that it leaves, serves on for a while, and goes; another one comes. */
export class LeavingEngine extends SoakFault {
  override readonly kind = 'leaving-engine'

  override async run (site: SoakEnvironment): Promise<void> {
    const engine = site.random.pick(site.deployment.engines.filter(({ hasEnded: isOver }) => !isOver))
    await site.deployment.addEngine()
    await this.recordWhile(site, engine.options.id, async () => {
      if (await engine.beginLeaving()) site.record.leavings.push({ endpoint: engine.options.id, at: Date.now() })
      await site.wait(LEAVING_MILLISECONDS.minimum, LEAVING_MILLISECONDS.maximum)
      await engine.leave()
    })
  }
}

/** The operators write a newer configuration. */
export class ChangeConfiguration extends SoakFault {
  override readonly kind = 'change-configuration'

  override async run (site: SoakEnvironment): Promise<void> {
    site.changeConfiguration()
    await site.wait(50, 500)
  }
}
