// Guards against streams that a caller resumes at another instance and that go on at another software version than the one that began them, and
// against streams that are given up although their version serves: after kills, restarts and cuts, and while versions change. No network.
import fc from 'fast-check'
import { afterEach, describe, expect, it } from 'vitest'
import type { TeamId } from '@limpetwinch/core'
import type { SoftwareVersion } from '../src/routes/configuration.js'
import { STREAM_LIFETIME_MILLISECONDS } from '../src/streams/software-versions.js'
import { service } from './support/samples.js'
import { SERVICE, StreamFleet } from './support/stream-fleet.js'
import type { StreamingInstance } from './support/stream-fleet.js'

const STREAMS = 24
const HUB_FLEET_PER_DATA_CENTRE = 16

let fleet: StreamFleet

afterEach(() => fleet.end())

/** Begins streams at one instance, of both versions in turn. @returns the version of each */
function beginStreams (instance: StreamingInstance): ReadonlyMap<string, string> {
  const streams = new Map(Array.from({ length: STREAMS }, (_, index) => [`r-${index}`, index % 2 === 0 ? 'v1' : 'v1.1']))
  for (const [request, version] of streams) fleet.begin(instance, request, version)
  return streams
}

/** @returns the numbers of streams that an instance resumes at their versions, at others, and not at all */
async function resumeAll (instance: StreamingInstance, streams: ReadonlyMap<string, string>): Promise<{ readonly right: number, readonly wrong: number, readonly unknown: number }> {
  const counts = { right: 0, wrong: 0, unknown: 0 }
  for (const [request, version] of streams) {
    const found = await fleet.resume(instance, request)
    counts[found === undefined ? 'unknown' : found === version ? 'right' : 'wrong'] += 1
  }
  return counts
}

function instanceAt (place: number): StreamingInstance {
  return fleet.instances[place % fleet.instances.length] as StreamingInstance
}

const ALL_RIGHT = { right: STREAMS, wrong: 0, unknown: 0 }

describe('a stream that began at one of two versions', () => {
  it.each([['a small fleet', 3], ['a fleet with hubs', HUB_FLEET_PER_DATA_CENTRE]])('is resumed there at every other instance of %s after its instance was killed', async (_name, perDataCentre) => {
    fleet = await StreamFleet.start(3, perDataCentre, 'v1', 'v1.1')
    for (const place of [1, 5, fleet.instances.length - 1]) {
      const first = instanceAt(place)
      const streams = beginStreams(first)
      fleet.kill(first)
      for (const other of [instanceAt(0), instanceAt(3), instanceAt(7)]) expect(await resumeAll(other, streams)).toEqual(ALL_RIGHT)
    }
  })

  it('is resumed there after half of a small fleet was killed together', async () => {
    fleet = await StreamFleet.start(3, 3, 'v1', 'v1.1')
    const streams = beginStreams(instanceAt(0))
    for (const killed of fleet.instances.slice(0, 4)) fleet.kill(killed)
    for (const other of [...fleet.instances]) expect(await resumeAll(other, streams)).toEqual(ALL_RIGHT)
  })

  it('is resumed there after its instance and its hub were killed together', async () => {
    fleet = await StreamFleet.start(3, HUB_FLEET_PER_DATA_CENTRE, 'v1', 'v1.1')
    const leaf = fleet.instances.find(({ simulated }) => !simulated.overlay.isHub)
    if (leaf === undefined) throw new Error('the fleet has no leaf')
    const hub = leaf.simulated.overlay.ownHub
    const streams = beginStreams(leaf)
    await fleet.clock.advance(20)
    for (const killed of fleet.instances.filter((each) => each === leaf || each.simulated.member.instance === hub)) fleet.kill(killed)
    await fleet.clock.advance(2_000)
    expect(await resumeAll(instanceAt(0), streams)).toEqual(ALL_RIGHT)
  })

  it('is resumed there in other data centres while its own is cut off', async () => {
    fleet = await StreamFleet.start(3, 3, 'v1', 'v1.1')
    const first = instanceAt(0)
    const streams = beginStreams(first)
    await fleet.clock.advance(5)
    fleet.network.cut(first.simulated.member.dataCentre)
    await fleet.clock.advance(100)
    const others = fleet.instances.filter(({ simulated }) => simulated.member.dataCentre !== first.simulated.member.dataCentre)
    for (const other of others) expect(await resumeAll(other, streams)).toEqual(ALL_RIGHT)
  })

  it('is not resumed at all when no instance that is left knows where it began', async () => {
    fleet = await StreamFleet.start(3, 3, 'v1', 'v1.1')
    const streams = beginStreams(instanceAt(0))
    for (const killed of [...fleet.instances]) fleet.restart(killed)
    await fleet.clock.advance(2_000)
    expect(await resumeAll(instanceAt(0), streams)).toEqual({ right: 0, wrong: 0, unknown: STREAMS })
  })

  // Guards against a question that other instances cannot read: they close the connection on which it arrives.
  it('is not resumed when its caller names no request, and the instances stay connected', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1', 'v1.1')
    expect(await fleet.resume(instanceAt(0), undefined)).toBeUndefined()
    fleet.begin(instanceAt(0), 'r', 'v1')
    await fleet.clock.advance(5)
    expect(await fleet.resume(instanceAt(1), 'r')).toBe('v1')
  })

  it('is resumed there by its own team only', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1', 'v1.1')
    const [{ origins }] = fleet.instances as [StreamingInstance]
    origins.begun({ requestId: 'r', team: 'one' as TeamId }, { service: SERVICE, softwareVersion: 'v1' as SoftwareVersion })
    expect((await origins.find({ requestId: 'r', team: 'one' as TeamId }, service(SERVICE)))?.softwareVersion).toBe('v1')
    expect(await fleet.resume(instanceAt(0), 'r')).toBeUndefined()
  })
})

describe('a stream that began while there was one version', () => {
  it('costs no frame, and goes on at that version, also when its caller names no request', async () => {
    fleet = await StreamFleet.start(3, 3, 'v1')
    const before = fleet.frames
    fleet.begin(instanceAt(0), 'r', 'v1')
    await fleet.clock.advance(100)
    expect(fleet.frames).toBe(before)
    expect(await fleet.resume(instanceAt(1), 'r')).toBe('v1')
    expect(await fleet.resume(instanceAt(1), undefined)).toBe('v1')
  })

  it('goes on there after a second version has joined', async () => {
    fleet = await StreamFleet.start(3, 3, 'v1')
    const first = instanceAt(0)
    fleet.begin(first, 'r', 'v1')
    fleet.show('v1', 'v1.1')
    await fleet.clock.advance(100)
    fleet.kill(first)
    expect(new Set(await fleet.resumeEverywhere('r'))).toEqual(new Set(['v1']))
  })

  it('is not resumed at an instance that missed the second version, at which others began streams', async () => {
    fleet = await StreamFleet.start(1, 4, 'v1', 'v1.1')
    const late = instanceAt(3)
    fleet.showTo(late, 'v1')
    await fleet.clock.advance(STREAM_LIFETIME_MILLISECONDS + 1)
    fleet.showTo(late, 'v1')
    late.isCurrent = false
    expect(await fleet.resume(late, 'unknown')).toBeUndefined()
  })

  it('goes on while the store answers nobody, if all instances can be asked', async () => {
    fleet = await StreamFleet.start(1, 4, 'v1')
    for (const instance of fleet.instances) instance.isCurrent = false
    expect(await fleet.resume(instanceAt(0), 'r')).toBe('v1')
    const [cutOff] = fleet.instances as [StreamingInstance]
    for (const other of fleet.instances.slice(1)) other.simulated.links.isUp = false
    for (const peer of [...cutOff.simulated.links.peers.keys()]) cutOff.simulated.links.disconnect(peer)
    expect(await fleet.resume(cutOff, 'r')).toBeUndefined()
  })
})

describe('a version that has left', () => {
  it('counts for as long as a stream that began at it may be resumed', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1', 'v1.1')
    fleet.show('v1.1')
    await fleet.clock.advance(STREAM_LIFETIME_MILLISECONDS - 1_000)
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBeUndefined()
    await fleet.clock.advance(2_000)
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBe('v1.1')
  })

  it('is known to a process that starts after all others have ended, from the load owners in the store', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1.1')
    fleet.showLoadOwner(instanceAt(0), 'v1')
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBeUndefined()
  })

  // Guards against streams of an engine that has left, whose load owner is of an earlier release and named no version.
  it('counts as unknown where the claim of its engine names none', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1.1')
    fleet.showLoadOwner(instanceAt(0), undefined)
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBeUndefined()
    await fleet.clock.advance(STREAM_LIFETIME_MILLISECONDS + 1)
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBe('v1.1')
  })

  it('is that of the entry where the claim of an engine names none and the engine was seen', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1.1')
    fleet.showLoadOwner(instanceAt(0), undefined, 'e-v1.1')
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBe('v1.1')
    fleet.show()
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBe('v1.1')
  })

  it('that an endpoint does not state makes its streams go on nowhere else', async () => {
    fleet = await StreamFleet.start(1, 3, 'v1')
    fleet.showTo(instanceAt(0), 'v1', undefined)
    expect(await fleet.resume(instanceAt(0), 'unknown')).toBeUndefined()
    fleet.begin(instanceAt(0), 'r', '')
    expect(await fleet.resume(instanceAt(0), 'r')).toBeUndefined()
  })
})

/** One step of a plan: a stream begins, instances are killed or restarted, a data centre is cut off or all cuts end, a version joins or leaves. */
const step = fc.oneof(
  fc.record({ kind: fc.constant('begin' as const), place: fc.nat(20), version: fc.nat(1) }),
  fc.record({ kind: fc.constantFrom('kill' as const, 'restart' as const, 'cut' as const), place: fc.nat(20) }),
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({ kind: fc.constant('show' as const), versions: fc.constantFrom<readonly string[]>(['v1'], ['v1.1'], ['v1', 'v1.1']) }),
  fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 3_000 }) })
)

describe('whatever fails', () => {
  // All instances learn of a version before streams begin at it, as an adapter has to be loaded there first.
  it.each([3, 8])('no stream goes on at another version than the one that began it (%i instances in each data centre)', async (perDataCentre) => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
      fleet = await StreamFleet.start(3, perDataCentre, 'v1', 'v1.1')
      let shown: readonly string[] = ['v1', 'v1.1']
      const streams = new Map<string, string>()
      for (const each of steps) {
        if (each.kind === 'begin') {
          const version = shown[each.version % shown.length] as string
          streams.set(`r-${streams.size}`, version)
          fleet.begin(instanceAt(each.place), `r-${streams.size - 1}`, version)
        } else if (each.kind === 'kill' && fleet.instances.length > 2) fleet.kill(instanceAt(each.place))
        else if (each.kind === 'restart') fleet.showLoadOwner(fleet.restart(instanceAt(each.place)), shown.includes('v1') ? 'v1.1' : 'v1')
        else if (each.kind === 'cut') fleet.network.cut(instanceAt(each.place).simulated.member.dataCentre)
        else if (each.kind === 'heal') fleet.network.heal()
        else if (each.kind === 'show') fleet.show(...(shown = each.versions))
        else if (each.kind === 'wait') await fleet.clock.advance(each.milliseconds)
        await fleet.clock.advance(1)
      }
      for (const instance of fleet.instances.slice(0, 3)) expect((await resumeAll(instance, streams)).wrong).toBe(0)
      fleet.end()
    }), { numRuns: 25 })
  }, 120_000)
})
