import { describe, expect, it } from 'vitest'
import { SystemClock } from '@limpetwinch/core'
import type { IdempotencyKey, RequestId, TeamId } from '@limpetwinch/core'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { IdempotencyClaims } from '../../src/outcomes/idempotency-claims.js'

const team = 'history' as TeamId
const key = 'invoice-17' as IdempotencyKey
const first = 'request-1' as RequestId
const second = 'request-2' as RequestId

function start (): { store: MemoryObjectStore, here: IdempotencyClaims, there: IdempotencyClaims } {
  const store = new MemoryObjectStore()
  return { store, here: new IdempotencyClaims(store, new SystemClock()), there: new IdempotencyClaims(store, new SystemClock()) }
}

describe('claims of idempotency keys', () => {
  // Guards against two runs for one key: the caller retries through another instance while the first request is running.
  // The retry is refused with `key-already-used` and outcome `unknown`.
  it('lets a key run once in the whole deployment', async () => {
    const { here, there } = start()
    const claims = await Promise.all([here.claim(team, key, first), there.claim(team, key, second)])
    expect(claims.filter((claim) => claim.isOk())).toHaveLength(1)
    expect(claims.find((claim) => claim.isErr())?._unsafeUnwrapErr()).toMatchObject({ kind: 'key-already-used', outcome: 'unknown' })
    const later = await there.claim(team, key, 'request-3' as RequestId)
    expect(later._unsafeUnwrapErr()).toMatchObject({ kind: 'key-already-used', outcome: 'unknown' })
  })

  // Guards against a request that is refused because of its own claim: the store creates the claim, but its response is
  // lost. The claim is recognised by its own id when it is read back, and not written a second time.
  it('recognises its own write after a lost response', async () => {
    const { store, here } = start()
    store.faults.loseAnswers = 1
    const claim = await here.claim(team, key, first)
    expect(claim.isOk()).toBe(true)
    expect(store.calls.writes).toBe(1)
  })

  // Guards against a second run during an outage of the store, when it is unknown whether a key is free. The request fails
  // with outcome `not_run`, and the caller may retry with the same key.
  it('refuses claims while the store is unavailable', async () => {
    const { store, here } = start()
    store.faults.outage = true
    const claim = await here.claim(team, key, first)
    expect(claim._unsafeUnwrapErr()).toMatchObject({ kind: 'store-unavailable', outcome: 'not_run', retryAfterSeconds: 2 })
    store.faults.outage = false
    expect((await here.claim(team, key, first)).isOk()).toBe(true)
  })

  // Guards against a key that stays blocked although its request provably did not run, and against two retries that both run.
  it('lets a released key be claimed again, once', async () => {
    const { here, there } = start()
    const claim = (await here.claim(team, key, first))._unsafeUnwrap()
    await here.release(claim)
    const retries = await Promise.all([here.claim(team, key, second), there.claim(team, key, 'request-3' as RequestId)])
    expect(retries.filter((retry) => retry.isOk())).toHaveLength(1)
  })

  it('keeps the keys of teams apart', async () => {
    const { here } = start()
    expect((await here.claim(team, key, first)).isOk()).toBe(true)
    expect((await here.claim('geography' as TeamId, key, second)).isOk()).toBe(true)
  })
})
