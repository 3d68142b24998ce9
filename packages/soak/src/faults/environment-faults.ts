/** Faults of the instances' environment: store, model servers, configuration. */
import type { StoreServerFaults } from '@limpetwinch/platform'
import type { SoakEnvironment } from '../soak-environment.js'
import { FAVOURED_INSTANCE, IN_FORCE_MILLISECONDS } from '../soak-record.js'
import { SoakFault } from './soak-fault.js'

/** Range of the time for which a leaving endpoint keeps serving. */
const LEAVING_MILLISECONDS = { minimum: 3_000, maximum: 4_500 }
/** Adapters with lower numbers are requested more often. */
const POPULAR_ADAPTERS = 4
const ADDED_ROUTE_DEADLINE_MILLISECONDS = 1_500
/** Longer than the time after which callers must be served as before. */
const FAVOUR_MILLISECONDS = { minimum: 5_000, maximum: 8_000 }
/** A shorter fault can end within the duration of one store call, and no instance notices it. */
const MINIMUM_STORE_FAULT_MILLISECONDS = 500

/** A fault of the store that is set, kept for a random time and cleared. */
abstract class StoreFault extends SoakFault {
  protected abstract readonly maximumMilliseconds: number
  /** Fault settings that clear the fault. */
  protected abstract readonly unset: Partial<StoreServerFaults>

  override async run (environment: SoakEnvironment): Promise<void> {
    await this.recordWhile(environment, undefined, async () => {
      environment.deployment.store.setFaults(this.faults(environment))
      await environment.wait(MINIMUM_STORE_FAULT_MILLISECONDS, this.maximumMilliseconds)
      environment.deployment.store.setFaults(this.unset)
    })
  }

  /** @returns the fault settings to apply to the store */
  protected abstract faults (environment: SoakEnvironment): Partial<StoreServerFaults>
}

/** Makes the store refuse all calls, or leave them unanswered. */
export class StoreDown extends StoreFault {
  override readonly kind = 'store-down'
  protected override readonly maximumMilliseconds = 4_000
  protected override readonly unset = { down: 'no' } as const

  protected override faults ({ random }: SoakEnvironment): Partial<StoreServerFaults> {
    return { down: random.pick(['refuse', 'silent'] as const) }
  }
}

/** Delays the responses of the store. */
export class StoreSlow extends StoreFault {
  override readonly kind = 'store-slow'
  protected override readonly maximumMilliseconds = 3_000
  protected override readonly unset = { slowMilliseconds: 0 }

  protected override faults ({ random }: SoakEnvironment): Partial<StoreServerFaults> {
    return { slowMilliseconds: random.between(50, 600) }
  }
}

/** Lets writes to the store take effect but loses their responses. */
export class StoreLosesResponses extends StoreFault {
  override readonly kind = 'store-loses-answers'
  protected override readonly maximumMilliseconds = 2_000
  protected override readonly unset = { loseAnswers: 0 }

  protected override faults ({ random }: SoakEnvironment): Partial<StoreServerFaults> {
    return { loseAnswers: random.between(1, 6) }
  }
}

/** Compacts the store, so that watches from earlier revisions fail. */
export class CompactStore extends SoakFault {
  override readonly kind = 'store-forgets'

  override async run (environment: SoakEnvironment): Promise<void> {
    await this.recordWhile(environment, undefined, async () => {
      environment.deployment.store.objects.compact()
      await environment.wait(50, 200)
    })
  }
}

/** Crashes a model server; its entry in the store is removed later, as on expiry, and another model server is started. */
export class CrashEngine extends SoakFault {
  override readonly kind = 'crash-engine'

  override async run (environment: SoakEnvironment): Promise<void> {
    const engine = environment.random.pick(environment.deployment.engines.filter(({ hasEnded }) => !hasEnded))
    await this.recordWhile(environment, engine.options.id, async () => {
      await engine.crash()
      await environment.wait(800, 1_500)
      await engine.removeEntry()
      await environment.deployment.addEngine()
    })
  }
}

/** Starts another model server, and lets one announce that it is leaving, keep serving for a while, and leave. */
export class LeavingEngine extends SoakFault {
  override readonly kind = 'leaving-engine'

  override async run (environment: SoakEnvironment): Promise<void> {
    const engine = environment.random.pick(environment.deployment.engines.filter(({ hasEnded }) => !hasEnded))
    await environment.deployment.addEngine()
    await this.recordWhile(environment, engine.options.id, async () => {
      if (await engine.beginLeaving()) environment.record.leavings.push({ endpoint: engine.options.id, at: Date.now() })
      await environment.wait(LEAVING_MILLISECONDS.minimum, LEAVING_MILLISECONDS.maximum)
      await engine.leave()
    })
  }
}

/** Writes a new configuration version with a further route to the store, and later sends requests on the route to all instances. */
export class ChangeConfiguration extends SoakFault {
  override readonly kind = 'change-configuration'

  override async run (environment: SoakEnvironment): Promise<void> {
    environment.changeConfiguration()
    const added = environment.record.addedRoutes.at(-1)
    await environment.wait(IN_FORCE_MILLISECONDS, IN_FORCE_MILLISECONDS + 200)
    if (added !== undefined) await environment.sendToAll(added.route, ADDED_ROUTE_DEADLINE_MILLISECONDS)
  }
}

/** Announces a new version of an adapter that callers often ask for. */
export class AnnounceVersion extends SoakFault {
  override readonly kind = 'announce-version'

  override async run (environment: SoakEnvironment): Promise<void> {
    environment.announceVersion(`a${environment.random.between(1, POPULAR_ADAPTERS)}`)
    await environment.wait(50, 500)
  }
}

/** The load balancer hands most new connections to one instance, and callers open new connections more often. */
export class FavourInstance extends SoakFault {
  override readonly kind = FAVOURED_INSTANCE

  override async run (environment: SoakEnvironment): Promise<void> {
    const picked = this.pickRunningInstance(environment)
    if (picked === undefined || environment.favoured !== undefined) return
    await this.recordWhile(environment, undefined, async () => {
      environment.favoured = picked.instance.name
      await environment.wait(FAVOUR_MILLISECONDS.minimum, FAVOUR_MILLISECONDS.maximum)
      environment.favoured = undefined
    })
  }
}
