/** Creates the components on which the guarantees of an instance depend, so that a test can replace one of them. */
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

/**
 * Creates the production components. Subclasses in the fault tests create faulty components instead, to verify that the checks of the
 * tests find the faults.
 */
export class EntryComponents {
  /** @returns the client of an engine */
  engineClient (engine: EngineSettings): HttpEngineClient {
    return new HttpEngineClient(engine.endpoint, engine.url)
  }

  /** @returns the membership of the deployment */
  membership (options: ListMembershipOptions): ListMembership {
    return new ListMembership(options)
  }

  /** @returns the follower of the settings in force */
  settings (dependencies: SettingsFollowerDependencies): SettingsFollower {
    return new SettingsFollower(dependencies)
  }

  /** @returns the ownership of endpoints */
  ownership (options: StoreOwnershipOptions): StoreOwnership {
    return new StoreOwnership(options)
  }

  /** @returns the timeouts and intervals with which a new owner learns the pins of earlier owners */
  recoveryTimes (): RecoveryTimes {
    return DEFAULT_RECOVERY_TIMES
  }

  /** @returns the endpoints owned by this instance, with their schedulers */
  ownedEndpoints (options: OwnedEndpointsOptions): OwnedEndpoints {
    return new OwnedEndpoints(options)
  }

  /** @returns the claims of idempotency keys */
  claims (store: ObjectStore, clock: Clock): IdempotencyClaims {
    return new IdempotencyClaims(store, clock)
  }

  /** @returns the delivery of requests to engines */
  delivery (options: DeliveryOptions): Delivery {
    return new Delivery(options)
  }
}
