// Guards against loads being blocked by crashed engines: three engines crash while each loads four adapters. They stay listed until
// their entries lapse, seconds later. If their loads counted as in progress for that long, no other engine would be sent a load order,
// and every request for a cold adapter would wait or be refused.
// Also guards against notices of earlier incarnations and load owners that would restore adapters an engine no longer holds.
import { describe, expect, it } from 'vitest'
import type { AdaptersHeldFrame, EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import { endpoint, key, LOAD_OWNER } from './support/samples.js'

function notice (sample: Partial<AdaptersHeldFrame>): AdaptersHeldFrame {
  return { kind: 'adapters-held', endpoint: 'a' as EndpointId, born: 100, token: 5 as FencingToken, sequence: 1, held: [], inFlight: [], ...sample }
}

describe('adapter locations', () => {
  it('count a load as in progress for no longer than a load can take', () => {
    const locations = new AdapterLocations()
    for (const id of ['a', 'b', 'c']) locations.applyNotice(LOAD_OWNER, notice({ endpoint: id as EndpointId, inFlight: ['base/1', 'base/2', 'base/3', 'base/4'] }), 1_000)
    expect([1_900, 2_000].map((now) => locations.inFlight.count(now))).toEqual([12, 0])
  })

  it('date a load from the first notice of it', () => {
    const locations = new AdapterLocations()
    locations.applyNotice(LOAD_OWNER, notice({ sequence: 1, inFlight: ['base/1'] }), 1_000)
    locations.applyNotice(LOAD_OWNER, notice({ sequence: 2, inFlight: ['base/1', 'base/2'] }), 1_800)
    expect(locations.inFlight.count(2_100)).toBe(1)
  })

  it('apply only notices of the latest incarnation, load owner and sequence number', () => {
    const locations = new AdapterLocations()
    locations.applyNotice(LOAD_OWNER, notice({ token: 7 as FencingToken, held: [[key('new'), 1]] }), 0)
    locations.applyNotice(LOAD_OWNER, notice({ token: 6 as FencingToken, sequence: 99, held: [[key('old'), 1]] }), 0)
    locations.applyNotice(LOAD_OWNER, notice({ born: 50, token: 9 as FencingToken, held: [[key('older'), 1]] }), 0)
    locations.applyStatement(endpoint('a', { adapters: [{ key: key('said'), version: 1 }] }))
    expect(['new', 'old', 'older', 'said'].map((name) => locations.holders(key(name)).size)).toEqual([1, 0, 0, 0])
    locations.applyStatement(endpoint('a', { born: 200 }))
    expect(locations.holders(key('new')).size).toBe(0)
  })

  // The load owner's host restarts and keeps its fencing token. The first notice of its new process has a lower sequence number than
  // the last one of the old process. If peers rejected it, they would send no request to the engine, and callers would be refused
  // although their adapters are loaded.
  it('apply the first notice of a new process of the same load owner', () => {
    const locations = new AdapterLocations()
    locations.applyNotice('before' as InstanceId, notice({ sequence: 300, held: [[key('x'), 1]] }), 0)
    locations.applyNotice('after' as InstanceId, notice({ sequence: 1, held: [[key('y'), 1]] }), 10)
    expect([key('x'), key('y')].map((each) => locations.holders(each).size)).toEqual([0, 1])
  })

  it('remember what an engine caches until the engine is removed', () => {
    const locations = new AdapterLocations()
    locations.applyNotice(LOAD_OWNER, notice({ sequence: 1, held: [[key('x'), 1]] }), 0)
    locations.applyNotice(LOAD_OWNER, notice({ sequence: 2 }), 0)
    const before = locations.isCached('a' as EndpointId, key('x'), 0)
    locations.remove('a' as EndpointId)
    expect([before, locations.isCached('a' as EndpointId, key('x'), 0)]).toEqual([true, false])
  })

  it('wake waiting requests when the adapter arrives', async () => {
    const locations = new AdapterLocations()
    const arrived = locations.waitForArrival(key('x'), 60_000, new AbortController().signal)
    locations.applyNotice(LOAD_OWNER, notice({ held: [[key('x'), 1]] }), 0)
    await arrived
    expect([...locations.holders(key('x')).keys()]).toEqual(['a'])
  })
})

describe('a load that was lost', () => {
  it('attracts no further requests to its engine once it takes longer than any load', () => {
    const locations = new AdapterLocations()
    locations.applyNotice(LOAD_OWNER, notice({ inFlight: ['base/x'] }), 1_000)
    expect([1_500, 2_100].map((now) => locations.inFlight.has('a' as EndpointId, key('x'), now))).toEqual([true, false])
  })

  it('of an older version does not count as cached', () => {
    const locations = new AdapterLocations()
    locations.applyNotice(LOAD_OWNER, notice({ sequence: 1, held: [[key('x'), 1]] }), 0)
    locations.applyNotice(LOAD_OWNER, notice({ sequence: 2 }), 0)
    expect([0, 1, 2].map((version) => locations.isCached('a' as EndpointId, key('x'), version))).toEqual([true, true, false])
  })
})
