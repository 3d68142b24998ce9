/**
 * Claims of idempotency keys. A request that may run only once has to claim its caller's key, so it runs at most once for
 * each key in the whole deployment.
 */
import { createHash, randomUUID } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, IdempotencyKey, ObjectStore, RequestId, StoredObject, TeamId } from '@limpetwinch/core'

const CLAIMS_PREFIX = '/claims'
/** Number of attempts to read a claim whose write got no response. It bounds how long the caller waits for an error. */
const READ_BACK_ATTEMPTS = 3
/** Pause after the first failed attempt to read the claim; doubled after each further one. */
const READ_BACK_PAUSE_MILLISECONDS = 100
/** Time after which a caller may retry a request that was refused because the store was unavailable. */
const RETRY_SECONDS = 2

/**
 * State of a key. `claimed`: the request may be running or have run. `answered`: the response was complete. `released`: the
 * request provably did not run, so the key may be claimed again.
 */
type ClaimState = 'claimed' | 'answered' | 'released'

const claimSchema = z.object({
  state: z.enum(['claimed', 'answered', 'released']),
  requestId: z.string(),
  writeId: z.string(),
  at: z.number()
})

type Claim = z.infer<typeof claimSchema>

/** A claim of a key, which only one request holds, at the version that this request wrote. */
export interface HeldClaim {
  readonly path: string
  readonly version: number
  readonly requestId: RequestId
}

/**
 * Claims keys by conditional creation of an object in the platform's store.
 *
 * A record in the memory of an instance would be lost with the instance, and two instances that cannot reach each other
 * would both accept the same key. In the store exactly one creation succeeds, whatever happens to instances.
 */
export class IdempotencyClaims {
  private readonly store: ObjectStore
  private readonly clock: Clock

  /**
   * @param store - the platform's object store, which holds the claims
   * @param clock - the clock to use
   */
  constructor (store: ObjectStore, clock: Clock) {
    this.store = store
    this.clock = clock
  }

  /**
   * Claims a key for a request, unless another request has claimed the key and may have run.
   *
   * @param team - the caller's team; each team has its own keys
   * @param key - the caller's key
   * @param requestId - the request to run
   * @returns the claim, the error `key-already-used`, or the error `store-unavailable`, after which the request must not run
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

  /**
   * Releases a key whose request provably did not run. If the release is lost, the key stays claimed. That is safe: no
   * request runs twice.
   */
  async release (claim: HeldClaim): Promise<void> {
    await this.write(claim.path, claim.version, 'released', claim.requestId)
  }

  /** Records that the response was complete, for the error message that a later retry gets. */
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

  /**
   * Checks whether a write that got no response took effect, by comparing the write id in the stored claim. The write itself
   * is never retried.
   */
  private async readBack (path: string, claim: Claim, lost: LimpetwinchError): Promise<Result<HeldClaim, LimpetwinchError>> {
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
      const read = await this.store.get(path)
      if (read.isOk()) return this.compare(read.value, path, claim, lost)
      await this.clock.sleep(READ_BACK_PAUSE_MILLISECONDS * 2 ** attempt)
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
      ? `got a complete response as request ${claim.requestId}`
      : `may have run as request ${claim?.requestId ?? 'of another instance'}`
    return new LimpetwinchError('key-already-used', { state })
  }

  /** @returns the error for a claim that failed; its outcome is `not_run`, because a request never runs without a claim */
  private storeUnavailableError (cause: LimpetwinchError): LimpetwinchError {
    return new LimpetwinchError('store-unavailable', { reason: cause.message }, { cause, outcome: 'not_run', retryAfterSeconds: RETRY_SECONDS })
  }
}

function pathOf (team: TeamId, key: IdempotencyKey): string {
  const hash = createHash('sha256').update(key).digest('hex')
  return `${CLAIMS_PREFIX}/${team}/${hash}`
}
