// Copies of a suspected request come to several instances at once; one of them may run.
import type { EndpointId, InstanceId, RequestTrialFrame } from '@limpetwinch/core'
import { SystemClock } from '@limpetwinch/core'
import { joinFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix } from '@limpetwinch/decisions'
import { describe, expect, it } from 'vitest'
import { IsolatedRunClaims } from '../src/quarantine/isolated-run-claims.js'

const SUSPECTED = joinFingerprint('suspected' as FingerprintPrefix, 'body')
const OTHER = joinFingerprint('other' as FingerprintPrefix, 'body')
const ENGINE = 'engine' as EndpointId
const TRAVEL_MILLISECONDS = 5
const NOTICE_MILLISECONDS = 40
const LASTS_MILLISECONDS = 200

/** Instances whose words reach each other a moment later. */
function instances (...names: string[]): Map<string, IsolatedRunClaims> {
  const all = new Map<string, IsolatedRunClaims>()
  for (const name of names) join(all, name)
  return all
}

/** One more, which has heard nothing. */
function join (all: Map<string, IsolatedRunClaims>, name: string): void {
  const later = (to: string, frame: RequestTrialFrame): void => {
    setTimeout(() => all.get(to)?.applyFrame(name as InstanceId, frame), TRAVEL_MILLISECONDS)
  }
  all.set(name, new IsolatedRunClaims({
    self: name as InstanceId,
    clock: new SystemClock(),
    broadcast: (frame) => { for (const other of all.keys()) if (other !== name) later(other, frame) },
    notify: (to, frame) => later(to, frame),
    noticeMilliseconds: () => NOTICE_MILLISECONDS
  }))
}

async function claimAll (all: Map<string, IsolatedRunClaims>): Promise<string[]> {
  const claimed = await Promise.all([...all].map(async ([name, claims]) => await claims.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false) === 'granted' ? [name] : []))
  return claimed.flat()
}

describe('copies of a suspected request', () => {
  // Guards against one more crashed endpoint for each instance that a copy comes to at the same moment.
  it('run at one instance when they come to all at once', async () => {
    expect(await claimAll(instances('a', 'b', 'c'))).toEqual(['a'])
  })

  // Guards against an instance that has heard nothing, such as one that has just started, and begins a second run.
  it('do not run at an instance that comes later and has heard of no claim', async () => {
    const all = instances('b', 'c')
    expect(await all.get('b')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)).toBe('granted')
    join(all, 'a')
    expect(await all.get('a')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)).toBe('taken')
  })

  // Guards against a request that nobody may run since the instance that claimed it has ended.
  it('run again when the claim is over or has lapsed', async () => {
    const all = instances('a', 'b')
    await all.get('a')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)
    expect(await all.get('b')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)).toBe('taken')
    all.get('a')?.over(SUSPECTED)
    await new Promise((resolve) => setTimeout(resolve, 2 * TRAVEL_MILLISECONDS))
    expect(await all.get('b')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)).toBe('granted')
    await new Promise((resolve) => setTimeout(resolve, LASTS_MILLISECONDS + TRAVEL_MILLISECONDS))
    expect(await all.get('a')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)).toBe('granted')
  })

  // Guards against a third instance that refuses copies for as long as a claim that was given up would have lasted.
  it('may run at a third instance once the one of two claims at once that held is over', async () => {
    const all = instances('a', 'b', 'c')
    const claimed = await Promise.all(['a', 'b'].map(async (name) => await all.get(name)?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)))
    all.get('a')?.over(SUSPECTED)
    await new Promise((resolve) => setTimeout(resolve, 2 * TRAVEL_MILLISECONDS))
    expect([...claimed, await all.get('c')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)]).toEqual(['granted', 'taken', 'granted'])
  })

  // Guards against two suspected requests on one endpoint, whose crash then says nothing of either.
  it('keep the endpoint of others from being used', async () => {
    const all = instances('a', 'b')
    await all.get('a')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false)
    await new Promise((resolve) => setTimeout(resolve, 2 * TRAVEL_MILLISECONDS))
    expect([...all.get('b')?.occupied(OTHER) ?? []]).toEqual([ENGINE])
    expect([...all.get('b')?.occupied(SUSPECTED) ?? []]).toEqual([])
    expect(await all.get('b')?.claim(OTHER, ENGINE, LASTS_MILLISECONDS, false)).toBe('occupied')
  })

  // Guards against two suspected requests that choose one endpoint in the same moment, neither knowing of the other.
  it('do not share an endpoint when they are claimed at the same time', async () => {
    const all = instances('a', 'b')
    const claimed = await Promise.all([
      all.get('a')?.claim(SUSPECTED, ENGINE, LASTS_MILLISECONDS, false),
      all.get('b')?.claim(OTHER, ENGINE, LASTS_MILLISECONDS, false)
    ])
    expect(claimed).toEqual(['occupied', 'granted'])
  })
})
