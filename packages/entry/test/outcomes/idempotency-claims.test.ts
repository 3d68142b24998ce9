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
  // The caller gets one answer, and for its retry `key-already-used` with outcome `unknown`.
  // It retries the same key through another instance while the first run goes on; the store lets one create win.
  it('lets a key run once in the whole deployment', async () => {
    const { here, there } = start()
    const claims = await Promise.all([here.claim(team, key, first), there.claim(team, key, second)])
    expect(claims.filter((claim) => claim.isOk())).toHaveLength(1)
    expect(claims.find((claim) => claim.isErr())?._unsafeUnwrapErr()).toMatchObject({ kind: 'key-already-used', outcome: 'unknown' })
    const later = await there.claim(team, key, 'request-3' as RequestId)
    expect(later._unsafeUnwrapErr()).toMatchObject({ kind: 'key-already-used', outcome: 'unknown' })
  })

  // The caller gets its answer although the store's answer was lost.
  // The create takes effect, its answer is lost; the claim is read back by its own id, and not written a second time.
  it('knows its own write when the answer was lost', async () => {
    const { store, here } = start()
    store.faults.loseAnswers = 1
    const claim = await here.claim(team, key, first)
    expect(claim.isOk()).toBe(true)
    expect(store.calls.writes).toBe(1)
  })

  // The caller is told `not_run`, and may come back with the same key.
  // The store is out, so nobody can know whether the key is free; running without knowing could run it twice.
  it('runs nothing while the store is out', async () => {
    const { store, here } = start()
    store.faults.outage = true
    const claim = await here.claim(team, key, first)
    expect(claim._unsafeUnwrapErr()).toMatchObject({ kind: 'store-unavailable', outcome: 'not_run', retryAfterSeconds: 2 })
    store.faults.outage = false
    expect((await here.claim(team, key, first)).isOk()).toBe(true)
  })

  // The caller whose first try was proved not run gets its answer on the retry, and only one retry of two does.
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
