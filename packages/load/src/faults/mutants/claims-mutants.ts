/** Claims that lose who holds a key. */
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, IdempotencyKey, LimpetwinchError, ObjectStore, RequestId, TeamId } from '@limpetwinch/core'
import { IdempotencyClaims } from '@limpetwinch/entry'
import type { HeldClaim } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

type ClaimsClass = new (store: ObjectStore, clock: Clock) => IdempotencyClaims

/** Parts with other claims. */
export class MutantClaimsComponents extends FaultRunComponents {
  private readonly ClaimsClass: ClaimsClass

  /** @param claimsClass - the class of the claims */
  constructor (claimsClass: ClaimsClass) {
    super()
    this.ClaimsClass = claimsClass
  }

  override claims (store: ObjectStore, clock: Clock): IdempotencyClaims {
    return new this.ClaimsClass(store, clock)
  }
}

/** Gives every key to whoever asks. */
export class ForgetClaims extends IdempotencyClaims {
  override async claim (team: TeamId, key: IdempotencyKey, requestId: RequestId): Promise<Result<HeldClaim, LimpetwinchError>> {
    const claim = await super.claim(team, key, requestId)
    return claim.isOk() ? claim : ok({ path: '/claims/lost', version: 0, requestId })
  }
}
