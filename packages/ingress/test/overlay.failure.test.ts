// In a large fleet an instance has one connection, to a hub, and hears everything else over it. When that hub is lost, callers
// would be sent to adapters that have left, and engines whose holder is well would be claimed by others, unless the instance
// finds another hub, hears what it missed, and is counted as living all the while.
import { afterEach, describe, expect, it } from 'vitest'
import type { DataCentreId, EndpointId } from '@limpetwinch/core'
import type { NoticeFrame } from '@limpetwinch/entry'
import { HubPlan } from '../src/overlay/hub-plan.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { ManualClock } from './support/manual-clock.js'

const DATA_CENTRES = 3
const IN_EACH = 9
/** Every hop collects notices for a moment; three hops. */
const HEARD_MILLISECONDS = 100
const SETTLED_MILLISECONDS = 1_000
/** Longer than a lost connection is noticed and another hub is found. */
const RECOVERED_MILLISECONDS = 3_000
/** A member that is not present for longer than this counts as gone. */
const SUSPECT_MILLISECONDS = 1_200

let world: SimulatedNetwork

afterEach(() => world.end())

async function fleet (): Promise<readonly SimulatedInstance[]> {
  world = new SimulatedNetwork(new ManualClock())
  world.start(DATA_CENTRES, IN_EACH)
  await world.clock.advance(SETTLED_MILLISECONDS)
  return world.instances
}

function word (key: string): NoticeFrame {
  return { kind: 'load-refused', endpoint: 'e' as EndpointId, key, reason: '' }
}

function first (instances: readonly SimulatedInstance[], isHub: boolean): SimulatedInstance {
  const found = instances.find(({ overlay, links }) => overlay.isHub === isHub && links.isUp)
  if (found === undefined) throw new Error('There is none.')
  return found
}

/** @returns how many instances heard the word, and how often the one that heard it most */
function audience (instances: readonly SimulatedInstance[], from: SimulatedInstance, key: string): { heard: number, most: number } {
  const counts = instances.map(({ heard }) => heard.filter((said) => said === `${from.member.instance} ${key}`).length)
  return { heard: counts.filter((count) => count > 0).length, most: Math.max(...counts) }
}

function present (by: SimulatedInstance, instances: readonly SimulatedInstance[]): number {
  return instances.filter(({ member }) => member !== by.member && by.overlay.isReachable(member.instance)).length
}

describe('the overlay of a large fleet', () => {
  it('gives each leaf one connection, and each instance the word of every other one, once', async () => {
    const instances = await fleet()
    const leaves = instances.filter(({ overlay }) => !overlay.isHub)
    const [hub, leaf] = [first(instances, true), first(instances, false)]
    leaf.overlay.broadcast(word('x'))
    hub.overlay.broadcast(word('y'))
    await world.clock.advance(HEARD_MILLISECONDS)
    expect({
      hubs: instances.length - leaves.length,
      connectionsOfLeaves: [...new Set(leaves.map(({ links }) => links.connected().length))],
      fromLeaf: audience(instances, leaf, 'x'),
      fromHub: audience(instances, hub, 'y'),
      present: [...new Set(instances.map((each) => present(each, instances)))]
    }).toEqual({ hubs: 6, connectionsOfLeaves: [1], fromLeaf: { heard: 26, most: 1 }, fromHub: { heard: 26, most: 1 }, present: [26] })
  })

  it('brings a word to one instance alone, also between leaves of two data centres', async () => {
    const instances = await fleet()
    const [one, other] = ['dc-0', 'dc-1'].map((place) => first(instances.filter(({ member }) => member.dataCentre === place), false))
    if (one === undefined || other === undefined) throw new Error('There are none.')
    one.overlay.notify(other.member.instance, word('x'))
    await world.clock.advance(HEARD_MILLISECONDS)
    expect([audience(instances, one, 'x'), other.heard]).toEqual([{ heard: 1, most: 1 }, [`${one.member.instance} x`]])
  })

  // All instances tell their work in hand at a pace of their own. With a frame for each such word a leaf would be woken some
  // hundred times a second, which on small hosts takes the time of callers' requests.
  it('gathers what may wait into few frames, while urgent notices go on at once and none overtakes another', async () => {
    const instances = await fleet()
    const [hub, leaf, other] = [first(instances, true), first(instances, false), instances.findLast(({ overlay }) => !overlay.isHub)]
    if (other === undefined) throw new Error('There is none.')
    const before = other.links.received
    for (let passed = 0; passed < 1_000; passed += 40) {
      for (const { overlay } of instances) overlay.broadcast(word('patient'), 'patient')
      await world.clock.advance(40)
    }
    const frames = other.links.received - before
    leaf.overlay.broadcast(word('1'), 'patient')
    leaf.overlay.broadcast(word('2'))
    leaf.overlay.broadcast(word('3'), 'patient')
    await world.clock.advance(50)
    const order = hub.heard.filter((said) => /^\S+ \d$/.test(said)).map((said) => said.slice(-1))
    expect({ fewFrames: frames <= 25, order: order.slice(0, 2) }).toEqual({ fewFrames: true, order: ['1', '2'] })
  })

  // Instances that start together learn of each other one after the other. One that is planned as a hub by all others still
  // takes the fleet for a small one; those that dial it must learn all the same that it is a hub, or they would have none.
  it('attaches leaves to a hub that does not know yet how large the fleet is', async () => {
    world = new SimulatedNetwork(new ManualClock())
    world.start(DATA_CENTRES, IN_EACH, 12)
    await world.clock.advance(SETTLED_MILLISECONDS)
    for (const { overlay, member } of world.instances) if (!new HubPlan(world.instances.map((each) => each.member)).isHub(member.name)) overlay.apply(world.instances.map((each) => each.member))
    await world.clock.advance(SETTLED_MILLISECONDS)
    const leaves = world.instances.filter(({ overlay }) => !overlay.isHub)
    expect([leaves.length > 0, leaves.every(({ overlay }) => overlay.isAttached)]).toEqual([true, true])
  })

  // A connection falls silent and a new one is made before the old one is given up. What was said on the old one may be lost
  // with it, so whoever connects again is told again, in a small fleet and in a large one.
  it('tells a neighbour again when it connects again', async () => {
    const told = async (): Promise<boolean[]> => {
      await world.clock.advance(SETTLED_MILLISECONDS)
      const one = first(world.instances, true)
      const two = world.instances.findLast(({ links }) => links.isConnected(one.member.instance))
      if (two === undefined) throw new Error('There is none.')
      const again = [false, false]
      one.overlay.onNeighbour((neighbour) => { again[0] ||= neighbour === two.member.instance })
      two.overlay.onNeighbour((neighbour) => { again[1] ||= neighbour === one.member.instance })
      one.links.addPeer(two.links)
      two.links.addPeer(one.links)
      return again
    }
    world = new SimulatedNetwork(new ManualClock())
    world.start(1, 2)
    const small = await told()
    world.end()
    world = new SimulatedNetwork(new ManualClock())
    world.start(1, 30)
    expect([small, await told()]).toEqual([[true, true], [true, true]])
  })

  // A hub is killed. Its leaves must hear and be heard again, and nobody may take them to be gone meanwhile: their engines
  // would change hands, which costs a lease without loads.
  it('finds another hub for the leaves of one that was killed, before anybody takes them to be gone', async () => {
    const instances = await fleet()
    const hub = first(instances, true)
    const orphans = instances.filter(({ links, overlay }) => !overlay.isHub && links.isConnected(hub.member.instance))
    const observer = first(instances.filter(({ member }) => member.dataCentre !== hub.member.dataCentre), false)
    world.kill(hub)
    let longest = 0
    for (let passed = 0; passed < RECOVERED_MILLISECONDS; passed += 50) {
      await world.clock.advance(50)
      for (const { member } of orphans) {
        if (observer.overlay.isReachable(member.instance)) continue
        longest = Math.max(longest, world.clock.now() - (observer.overlay.lastReachableAt(member.instance) ?? -Infinity))
      }
    }
    const orphan = orphans[0] ?? hub
    orphan.overlay.broadcast(word('x'))
    await world.clock.advance(HEARD_MILLISECONDS)
    expect({ orphans: orphans.length > 0, heard: audience(instances, orphan, 'x').heard, absentTooLong: longest > SUSPECT_MILLISECONDS }).toEqual({ orphans: true, heard: 25, absentTooLong: false })
  })

  // Both hubs of a data centre are lost at once, and the store, which would drop them from the list, is away. One or two of
  // the others take their part, since their neighbours ask them to.
  it('goes on when all hubs of a data centre are lost at once', async () => {
    const instances = await fleet()
    const there = instances.filter(({ member }) => member.dataCentre === 'dc-1')
    for (const each of there.filter(({ overlay }) => overlay.isHub)) world.kill(each)
    await world.clock.advance(RECOVERED_MILLISECONDS)
    const leaf = first(there, false)
    leaf.overlay.broadcast(word('x'))
    await world.clock.advance(HEARD_MILLISECONDS)
    const hubs = there.filter(({ overlay, links }) => links.isUp && overlay.isHub).length
    expect([audience(instances, leaf, 'x').heard, hubs === 1 || hubs === 2]).toEqual([24, true])
  })

  // A data centre is cut off: its instances hear each other and nobody else, the others do not count them as present. When
  // the cut is over, all hear all, and what was said meanwhile is told again.
  it('keeps a data centre that is cut off together, and joins it again', async () => {
    const instances = await fleet()
    const [inside, outside] = [instances.filter(({ member }) => member.dataCentre === 'dc-2'), instances.filter(({ member }) => member.dataCentre !== 'dc-2')]
    world.cut('dc-2' as DataCentreId)
    await world.clock.advance(RECOVERED_MILLISECONDS)
    const apart = [...new Set(inside.map((each) => present(each, instances))), ...new Set(outside.map((each) => present(each, instances)))]
    const teller = first(outside, false)
    const own = (neighbour: SimulatedInstance): void => neighbour.overlay.onNeighbour((next) => neighbour.overlay.replay(next, [[teller.member.instance, word('missed')]]))
    outside.filter(({ overlay }) => overlay.isHub).forEach(own)
    world.heal()
    await world.clock.advance(RECOVERED_MILLISECONDS)
    const again = [...new Set(instances.map((each) => present(each, instances)))]
    expect({ apart, again, heardInside: audience(inside, teller, 'missed').heard }).toEqual({ apart: [8, 17], again: [26], heardInside: 9 })
  })
})
