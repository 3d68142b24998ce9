/** Faults of what stands around the instances: store, model servers, configuration. */
import type { SoakSite } from '../soak-site.js'
import { SoakFault } from './soak-fault.js'

/** A leaving endpoint goes on serving for a while. */
const SERVES_ON = { least: 3_000, most: 4_500 }

/** The store refuses, or says nothing. */
export class StoreDown extends SoakFault {
  override readonly kind = 'store-down'

  override async run (site: SoakSite): Promise<void> {
    await this.lasting(site, undefined, async () => {
      site.deployment.store.setFaults({ down: site.random.pick(['refuse', 'silent'] as const) })
      await site.wait(500, 4_000)
      site.deployment.store.setFaults({ down: 'no' })
    })
  }
}

/** The store is slow. */
export class StoreSlow extends SoakFault {
  override readonly kind = 'store-slow'

  override async run (site: SoakSite): Promise<void> {
    await this.lasting(site, undefined, async () => {
      site.deployment.store.setFaults({ slowMilliseconds: site.random.between(50, 600) })
      await site.wait(500, 3_000)
      site.deployment.store.setFaults({ slowMilliseconds: 0 })
    })
  }
}

/** Writes take effect, and their answers are lost. */
export class StoreLosesAnswers extends SoakFault {
  override readonly kind = 'store-loses-answers'

  override async run (site: SoakSite): Promise<void> {
    await this.lasting(site, undefined, async () => {
      site.deployment.store.setFaults({ loseAnswers: site.random.between(1, 6) })
      await site.wait(500, 2_000)
      site.deployment.store.setFaults({ loseAnswers: 0 })
    })
  }
}

/** The store forgets its history. */
export class StoreForgets extends SoakFault {
  override readonly kind = 'store-forgets'

  override async run (site: SoakSite): Promise<void> {
    await this.lasting(site, undefined, async () => {
      site.deployment.store.shelf.compact()
      await site.wait(50, 200)
    })
  }
}

/** A model server ends without a word; its entry lapses, and another one comes. */
export class CrashEngine extends SoakFault {
  override readonly kind = 'crash-engine'

  override async run (site: SoakSite): Promise<void> {
    const engine = site.random.pick(site.deployment.engines.filter(({ isOver }) => !isOver))
    await this.lasting(site, engine.options.id, async () => {
      await engine.crash()
      await site.wait(800, 1_500)
      await engine.lapse()
      await site.deployment.addEngine()
    })
  }
}

/** A model server says that it leaves, serves on for a while, and goes; another one comes. */
export class LeavingEngine extends SoakFault {
  override readonly kind = 'leaving-engine'

  override async run (site: SoakSite): Promise<void> {
    const engine = site.random.pick(site.deployment.engines.filter(({ isOver }) => !isOver))
    await site.deployment.addEngine()
    await this.lasting(site, engine.options.id, async () => {
      if (await engine.drain()) site.record.leavings.push({ endpoint: engine.options.id, at: Date.now() })
      await site.wait(SERVES_ON.least, SERVES_ON.most)
      await engine.leave()
    })
  }
}

/** The operators write a newer configuration. */
export class ChangeConfiguration extends SoakFault {
  override readonly kind = 'change-configuration'

  override async run (site: SoakSite): Promise<void> {
    site.changeConfiguration()
    await site.wait(50, 500)
  }
}
