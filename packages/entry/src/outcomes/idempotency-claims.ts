/** At most one run for each idempotency key of a non-idempotent request, in the whole deployment. */
import { createHash, randomUUID } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, IdempotencyKey, ObjectStore, RequestId, StoredObject, TeamId } from '@limpetwinch/core'

const CLAIMS_PREFIX = '/claims'
const READ_BACK_ATTEMPTS = 3
const READ_BACK_PAUSE_MILLISECONDS = 100
const RETRY_SECONDS = 2

/** `claimed`: it may run or have run. `released`: proved that it did not run, so the key may be claimed again. */
type ClaimState = 'claimed' | 'answered' | 'released'

const claimSchema = z.object({
  state: z.enum(['claimed', 'answered', 'released']),
  requestId: z.string(),
  writeId: z.string(),
  at: z.number()
})

type Claim = z.infer<typeof claimSchema>

/** A key that this request alone holds. */
export interface HeldClaim {
  readonly path: string
  readonly version: number
  readonly requestId: RequestId
}

/**
 * Claims keys by conditional create in the platform's store.
 *
 * A record in the memory of an instance would be lost with it, and two instances that are cut off from each other
 * would both say yes; the store lets one create win, whatever happens to instances.
 */
export class IdempotencyClaims {
  private readonly store: ObjectStore
  private readonly clock: Clock

  /**
   * @param store - the platform's object API
   * @param clock - time
   */
  constructor (store: ObjectStore, clock: Clock) {
    this.store = store
    this.clock = clock
  }

  /**
   * @param team - the caller's team; keys of teams are apart
   * @param key - the caller's key
   * @param requestId - the request that wants to run
   * @returns the claim, `key-already-used`, or `store-unavailable` when nothing may be run
   */
  async claim (team: TeamId, key: IdempotencyKey, requestId: RequestId): Promise<Result<HeldClaim, LimpetwinchError>> {
    const path = pathOf(team, key)
    const first = await this.write(path, 0, 'claimed', requestId)
    if (first.isOk()) return first
    if (first.error.kind !== 'version-conflict') return err(this.storeUnavailableError(first.error))
    const present = claimSchema.safeParse(first.error.details.value)
    if (!present.success || present.data.state !== 'released') return err(this.keyUsedError(present.data))
    const version = Number(first.error.details.version)
    const again = await this.write(path, version, 'claimed', requestId)
    if (again.isOk()) return again
    return err(again.error.kind === 'version-conflict' ? this.keyUsedError(undefined) : this.storeUnavailableError(again.error))
  }

  /** Lets the key be used again, since it is proved that nothing was run. Lost releases leave the key used: safe. */
  async release (claim: HeldClaim): Promise<void> {
    await this.write(claim.path, claim.version, 'released', claim.requestId)
  }

  /** Notes that the answer was whole, for the words that a later retry reads. */
  async answered (claim: HeldClaim): Promise<void> {
    await this.write(claim.path, claim.version, 'answered', claim.requestId)
  }

  private async write (path: string, ifVersion: number, state: ClaimState, requestId: RequestId): Promise<Result<HeldClaim, LimpetwinchError>> {
    const claim: Claim = { state, requestId, writeId: randomUUID(), at: this.clock.wallTime() }
    const written = await this.store.put({ path, ifVersion, value: claim })
    if (written.isOk()) return ok({ path, version: written.value, requestId })
    if (written.error.kind !== 'store-answer-lost') return err(written.error)
    return await this.readBack(path, claim, written.error)
  }

  /** A write whose answer was lost may have taken effect; its own id tells, and it is never written a second time. */
  private async readBack (path: string, claim: Claim, lost: LimpetwinchError): Promise<Result<HeldClaim, LimpetwinchError>> {
    for (let tries = 0; tries < READ_BACK_ATTEMPTS; tries += 1) {
      const read = await this.store.get(path)
      if (read.isOk()) return this.compare(read.value, path, claim, lost)
      await this.clock.sleep(READ_BACK_PAUSE_MILLISECONDS * 2 ** tries)
    }
    return err(lost)
  }

  private compare (present: StoredObject | undefined, path: string, claim: Claim, lost: LimpetwinchError): Result<HeldClaim, LimpetwinchError> {
    if (present === undefined) return err(lost)
    const found = claimSchema.safeParse(present.value)
    if (found.success && found.data.writeId === claim.writeId) {
      return ok({ path, version: present.version, requestId: claim.requestId as RequestId })
    }
    return err(new LimpetwinchError('version-conflict', { path, version: present.version, value: present.value }))
  }

  private keyUsedError (claim: Claim | undefined): LimpetwinchError {
    const state = claim?.state === 'answered'
      ? `was answered whole as request ${claim.requestId}`
      : `may have run as request ${claim?.requestId ?? 'of another instance'}`
    return new LimpetwinchError('key-already-used', { state })
  }

  /** Without a claim nothing is run. */
  private storeUnavailableError (cause: LimpetwinchError): LimpetwinchError {
    return new LimpetwinchError('store-unavailable', { reason: cause.message }, { cause, outcome: 'not_run', retryAfterSeconds: RETRY_SECONDS })
  }
}

function pathOf (team: TeamId, key: IdempotencyKey): string {
  const hash = createHash('sha256').update(key).digest('hex')
  return `${CLAIMS_PREFIX}/${team}/${hash}`
}
