// Guards against several simultaneous runs of a suspected request, each of which could crash an endpoint, when copies of the request arrive
// at several instances at once.
import type { EndpointId, InstanceId, RequestTrialFrame } from '@limpetwinch/core'
import { SystemClock } from '@limpetwinch/core'
import { joinFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix } from '@limpetwinch/decisions'
import { describe, expect, it } from 'vitest'
import { IsolatedRunClaims } from '../src/quarantine/isolated-run-claims.js'

const SUSPECTED = joinFingerprint('suspected' as FingerprintPrefix, 'body')
const OTHER = joinFingerprint('other' as FingerprintPrefix, 'body')
const ENGINE = 'engine' as EndpointId
const DELAY_MILLISECONDS = 5
const NOTICE_MILLISECONDS = 40
const CLAIM_MILLISECONDS = 200

/** Claims of several instances, whose messages reach each other after a short delay. */
function instances (...names: string[]): Map<string, IsolatedRunClaims> {
  const all = new Map<string, IsolatedRunClaims>()
  for (const name of names) join(all, name)
  return all
}

/** Adds an instance that has received no messages yet. */
function join (all: Map<string, IsolatedRunClaims>, name: string): void {
  const sendDelayed = (to: string, frame: RequestTrialFrame): void => {
    setTimeout(() => all.get(to)?.applyFrame(name as InstanceId, frame), DELAY_MILLISECONDS)
  }
  all.set(name, new IsolatedRunClaims({
    self: name as InstanceId,
    clock: new SystemClock(),
    broadcast: (frame) => { for (const other of all.keys()) if (other !== name) sendDelayed(other, frame) },
    notify: (to, frame) => sendDelayed(to, frame),
    noticeRoundTripMilliseconds: () => NOTICE_MILLISECONDS
  }))
}

async function claimAll (all: Map<string, IsolatedRunClaims>): Promise<string[]> {
  const claimed = await Promise.all([...all].map(async ([name, claims]) => await claims.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false) === 'granted' ? [name] : []))
  return claimed.flat()
}

describe('copies of a suspected request', () => {
  // Guards against one crashed endpoint for each instance at which a copy arrives at the same time.
  it('run on one instance when they arrive at all instances at once', async () => {
    expect(await claimAll(instances('a', 'b', 'c'))).toEqual(['a'])
  })

  // Guards against a second run on an instance that has received no claim, such as one that has just started.
  it('do not run on an instance that joins later and has received no claim', async () => {
    const all = instances('b', 'c')
    expect(await all.get('b')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)).toBe('granted')
    join(all, 'a')
    expect(await all.get('a')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)).toBe('taken')
  })

  // Guards against a request that no instance may run because the instance that claimed it has left.
  it('run again when the claim was released or has lapsed', async () => {
    const all = instances('a', 'b')
    await all.get('a')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)
    expect(await all.get('b')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)).toBe('taken')
    all.get('a')?.over(SUSPECTED)
    await new Promise((resolve) => setTimeout(resolve, 2 * DELAY_MILLISECONDS))
    expect(await all.get('b')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)).toBe('granted')
    await new Promise((resolve) => setTimeout(resolve, CLAIM_MILLISECONDS + DELAY_MILLISECONDS))
    expect(await all.get('a')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)).toBe('granted')
  })

  // Guards against a third instance that refuses copies until a claim lapses that lost against another one and was withdrawn.
  it('may run on a third instance once the winner of two simultaneous claims is released', async () => {
    const all = instances('a', 'b', 'c')
    const claimed = await Promise.all(['a', 'b'].map(async (name) => await all.get(name)?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)))
    all.get('a')?.over(SUSPECTED)
    await new Promise((resolve) => setTimeout(resolve, 2 * DELAY_MILLISECONDS))
    expect([...claimed, await all.get('c')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)]).toEqual(['granted', 'taken', 'granted'])
  })

  // Guards against two suspected requests on one endpoint, because its crash would not show which of them caused it.
  it('keep other suspected requests from using their endpoint', async () => {
    const all = instances('a', 'b')
    await all.get('a')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false)
    await new Promise((resolve) => setTimeout(resolve, 2 * DELAY_MILLISECONDS))
    expect([...all.get('b')?.occupied(OTHER) ?? []]).toEqual([ENGINE])
    expect([...all.get('b')?.occupied(SUSPECTED) ?? []]).toEqual([])
    expect(await all.get('b')?.claim(OTHER, ENGINE, CLAIM_MILLISECONDS, false)).toBe('occupied')
  })

  // Guards against two suspected requests that choose the same endpoint at the same time without knowing of each other.
  it('do not share an endpoint when they are claimed at the same time', async () => {
    const all = instances('a', 'b')
    const claimed = await Promise.all([
      all.get('a')?.claim(SUSPECTED, ENGINE, CLAIM_MILLISECONDS, false),
      all.get('b')?.claim(OTHER, ENGINE, CLAIM_MILLISECONDS, false)
    ])
    expect(claimed).toEqual(['occupied', 'granted'])
  })
})
