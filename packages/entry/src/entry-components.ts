/** Makes those parts of an instance that keep the promises, so that a test can put another in place of one. */
import { HttpEngineClient } from '@limpetwinch/core'
import type { Clock, EngineSettings, ObjectStore } from '@limpetwinch/core'
import { Delivery } from './delivery/delivery.js'
import type { DeliveryOptions } from './delivery/delivery.js'
import { ListMembership } from './membership/list-membership.js'
import type { ListMembershipOptions } from './membership/list-membership.js'
import { IdempotencyClaims } from './outcomes/idempotency-claims.js'
import { DEFAULT_RECOVERY_TIMES } from './ownership/endpoint-recovery.js'
import type { RecoveryTimes } from './ownership/endpoint-recovery.js'
import { StoreOwnership } from './ownership/store-ownership.js'
import type { StoreOwnershipOptions } from './ownership/store-ownership.js'
import { OwnedEndpoints } from './scheduling/owned-endpoints.js'
import type { OwnedEndpointsOptions } from './scheduling/owned-endpoints.js'
import { SettingsFollower } from './settings/settings-follower.js'
import type { SettingsFollowerDependencies } from './settings/settings-follower.js'

/** The parts as they ship. The proof of the promises subclasses this to see that its checks catch a wrong part. */
export class EntryComponents {
  /** @returns the client of an engine */
  engineClient (engine: EngineSettings): HttpEngineClient {
    return new HttpEngineClient(engine.endpoint, engine.url)
  }

  /** @returns who else is here */
  membership (options: ListMembershipOptions): ListMembership {
    return new ListMembership(options)
  }

  /** @returns the settings in force */
  settings (parts: SettingsFollowerDependencies): SettingsFollower {
    return new SettingsFollower(parts)
  }

  /** @returns who owns which endpoint */
  ownership (options: StoreOwnershipOptions): StoreOwnership {
    return new StoreOwnership(options)
  }

  /** @returns how long a new owner waits for what it may not have heard yet */
  recoveryTimes (): RecoveryTimes {
    return DEFAULT_RECOVERY_TIMES
  }

  /** @returns the schedulers of owned endpoints */
  ownedEndpoints (options: OwnedEndpointsOptions): OwnedEndpoints {
    return new OwnedEndpoints(options)
  }

  /** @returns the holder of idempotency keys */
  claims (store: ObjectStore, clock: Clock): IdempotencyClaims {
    return new IdempotencyClaims(store, clock)
  }

  /** @returns the delivery of answers */
  delivery (options: DeliveryOptions): Delivery {
    return new Delivery(options)
  }
}
