/** Idempotency claims that do not enforce which request holds a key. */
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, IdempotencyKey, LimpetwinchError, ObjectStore, RequestId, TeamId } from '@limpetwinch/core'
import { IdempotencyClaims } from '@limpetwinch/entry'
import type { HeldClaim } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

type ClaimsClass = new (store: ObjectStore, clock: Clock) => IdempotencyClaims

/** Components that build the given class of idempotency claims. */
export class MutantClaimsComponents extends FaultRunComponents {
  private readonly ClaimsClass: ClaimsClass

  /** @param claimsClass - the class of the idempotency claims to build */
  constructor (claimsClass: ClaimsClass) {
    super()
    this.ClaimsClass = claimsClass
  }

  override claims (store: ObjectStore, clock: Clock): IdempotencyClaims {
    return new this.ClaimsClass(store, clock)
  }
}

/** Grants a key to every request that claims it, also when another request already holds the key. */
export class ForgetClaims extends IdempotencyClaims {
  override async claim (team: TeamId, key: IdempotencyKey, requestId: RequestId): Promise<Result<HeldClaim, LimpetwinchError>> {
    const claim = await super.claim(team, key, requestId)
    return claim.isOk() ? claim : ok({ path: '/claims/lost', version: 0, requestId })
  }
}
