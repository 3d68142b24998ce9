// In a large fleet a leaf has one connection, to a hub, and receives all notices through it. When that hub is lost, the leaf must
// attach to another hub, receive what it missed, and count as reachable all the while. Otherwise it sends callers to adapters
// that were evicted, and other instances claim the engines whose loads it owns.
import { afterEach, describe, expect, it } from 'vitest'
import type { DataCentreId, EndpointId } from '@limpetwinch/core'
import type { NoticeFrame } from '@limpetwinch/entry'
import { HubPlan } from '../src/overlay/hub-plan.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { ManualClock } from './support/manual-clock.js'

const DATA_CENTRES = 3
const INSTANCES_PER_DATA_CENTRE = 9
/** Time for three hops, each of which batches notices for a moment. */
const DELIVERY_MILLISECONDS = 100
const SETTLED_MILLISECONDS = 1_000
/** Longer than the time to detect a lost connection and to attach to another hub. */
const RECOVERED_MILLISECONDS = 3_000
/** A member that is unreachable for longer than this counts as gone. */
const SUSPECT_MILLISECONDS = 1_200

let network: SimulatedNetwork

afterEach(() => network.end())

async function fleet (): Promise<readonly SimulatedInstance[]> {
  network = new SimulatedNetwork(new ManualClock())
  network.start(DATA_CENTRES, INSTANCES_PER_DATA_CENTRE)
  await network.clock.advance(SETTLED_MILLISECONDS)
  return network.instances
}

function notice (key: string): NoticeFrame {
  return { kind: 'load-refused', endpoint: 'e' as EndpointId, key, reason: '' }
}

function first (instances: readonly SimulatedInstance[], isHub: boolean): SimulatedInstance {
  const found = instances.find(({ overlay, links }) => overlay.isHub === isHub && links.isUp)
  if (found === undefined) throw new Error('There is no such instance.')
  return found
}

/** @returns how many instances received the notice, and how often it reached the instance that received it most often */
function receivers (instances: readonly SimulatedInstance[], from: SimulatedInstance, key: string): { heard: number, most: number } {
  const counts = instances.map(({ heard }) => heard.filter((entry) => entry === `${from.member.instance} ${key}`).length)
  return { heard: counts.filter((count) => count > 0).length, most: Math.max(...counts) }
}

function reachableCount (by: SimulatedInstance, instances: readonly SimulatedInstance[]): number {
  return instances.filter(({ member }) => member !== by.member && by.overlay.isReachable(member.instance)).length
}

describe('the overlay of a large fleet', () => {
  it('gives each leaf one connection, and delivers each notice to every other instance once', async () => {
    const instances = await fleet()
    const leaves = instances.filter(({ overlay }) => !overlay.isHub)
    const [hub, leaf] = [first(instances, true), first(instances, false)]
    leaf.overlay.broadcast(notice('x'))
    hub.overlay.broadcast(notice('y'))
    await network.clock.advance(DELIVERY_MILLISECONDS)
    expect({
      hubs: instances.length - leaves.length,
      connectionsOfLeaves: [...new Set(leaves.map(({ links }) => links.connected().length))],
      fromLeaf: receivers(instances, leaf, 'x'),
      fromHub: receivers(instances, hub, 'y'),
      present: [...new Set(instances.map((each) => reachableCount(each, instances)))]
    }).toEqual({ hubs: 6, connectionsOfLeaves: [1], fromLeaf: { heard: 26, most: 1 }, fromHub: { heard: 26, most: 1 }, present: [26] })
  })

  it('delivers a notice for one instance to that instance only, also between leaves of two data centres', async () => {
    const instances = await fleet()
    const [one, other] = ['dc-0', 'dc-1'].map((place) => first(instances.filter(({ member }) => member.dataCentre === place), false))
    if (one === undefined || other === undefined) throw new Error('There are no such leaves.')
    one.overlay.notify(other.member.instance, notice('x'))
    await network.clock.advance(DELIVERY_MILLISECONDS)
    expect([receivers(instances, one, 'x'), other.heard]).toEqual([{ heard: 1, most: 1 }, [`${one.member.instance} x`]])
  })

  // All instances periodically announce their outstanding work. With one frame for each of these notices a leaf would be woken
  // some hundred times a second, which on small hosts takes processor time from requests.
  it('batches patient notices into few frames, while urgent notices are forwarded at once and none overtakes another', async () => {
    const instances = await fleet()
    const [hub, leaf, other] = [first(instances, true), first(instances, false), instances.findLast(({ overlay }) => !overlay.isHub)]
    if (other === undefined) throw new Error('There is no such instance.')
    const before = other.links.received
    for (let passed = 0; passed < 1_000; passed += 40) {
      for (const { overlay } of instances) overlay.broadcast(notice('patient'), 'patient')
      await network.clock.advance(40)
    }
    const frames = other.links.received - before
    leaf.overlay.broadcast(notice('1'), 'patient')
    leaf.overlay.broadcast(notice('2'))
    leaf.overlay.broadcast(notice('3'), 'patient')
    await network.clock.advance(50)
    const order = hub.heard.filter((entry) => /^\S+ \d$/.test(entry)).map((entry) => entry.slice(-1))
    expect({ fewFrames: frames <= 25, order: order.slice(0, 2) }).toEqual({ fewFrames: true, order: ['1', '2'] })
  })

  // Instances that start together learn of each other one by one. An instance that all others plan as a hub may still consider
  // the fleet small. It must announce to the leaves that dial it that it is a hub, or they would have none.
  it('attaches leaves to a hub that does not know the size of the fleet yet', async () => {
    network = new SimulatedNetwork(new ManualClock())
    network.start(DATA_CENTRES, INSTANCES_PER_DATA_CENTRE, 12)
    await network.clock.advance(SETTLED_MILLISECONDS)
    for (const { overlay, member } of network.instances) if (!new HubPlan(network.instances.map((each) => each.member)).isHub(member.name)) overlay.apply(network.instances.map((each) => each.member))
    await network.clock.advance(SETTLED_MILLISECONDS)
    const leaves = network.instances.filter(({ overlay }) => !overlay.isHub)
    expect([leaves.length > 0, leaves.every(({ overlay }) => overlay.isAttached)]).toEqual([true, true])
  })

  // A connection becomes unresponsive, and a new one is made before the old one is closed. Notices sent on the old connection may
  // be lost, so a neighbour that reconnects must be sent earlier notices again, in a small fleet and in a large one.
  it('treats a neighbour that reconnects as a new one', async () => {
    const reconnect = async (): Promise<boolean[]> => {
      await network.clock.advance(SETTLED_MILLISECONDS)
      const one = first(network.instances, true)
      const two = network.instances.findLast(({ links }) => links.isConnected(one.member.instance))
      if (two === undefined) throw new Error('There is no such instance.')
      const notified = [false, false]
      one.overlay.onNeighbour((neighbour) => { notified[0] ||= neighbour === two.member.instance })
      two.overlay.onNeighbour((neighbour) => { notified[1] ||= neighbour === one.member.instance })
      one.links.addPeer(two.links)
      two.links.addPeer(one.links)
      return notified
    }
    network = new SimulatedNetwork(new ManualClock())
    network.start(1, 2)
    const small = await reconnect()
    network.end()
    network = new SimulatedNetwork(new ManualClock())
    network.start(1, 30)
    expect([small, await reconnect()]).toEqual([[true, true], [true, true]])
  })

  // A hub is killed. Its leaves must exchange notices with the others again, and no instance may consider the leaves gone meanwhile:
  // their engines would change load owners, which costs one lease without loads.
  it('attaches the leaves of a killed hub to another one before any instance considers them gone', async () => {
    const instances = await fleet()
    const hub = first(instances, true)
    const orphans = instances.filter(({ links, overlay }) => !overlay.isHub && links.isConnected(hub.member.instance))
    const observer = first(instances.filter(({ member }) => member.dataCentre !== hub.member.dataCentre), false)
    network.kill(hub)
    let longest = 0
    for (let passed = 0; passed < RECOVERED_MILLISECONDS; passed += 50) {
      await network.clock.advance(50)
      for (const { member } of orphans) {
        if (observer.overlay.isReachable(member.instance)) continue
        longest = Math.max(longest, network.clock.now() - (observer.overlay.lastReachableAt(member.instance) ?? -Infinity))
      }
    }
    const orphan = orphans[0] ?? hub
    orphan.overlay.broadcast(notice('x'))
    await network.clock.advance(DELIVERY_MILLISECONDS)
    expect({ orphans: orphans.length > 0, heard: receivers(instances, orphan, 'x').heard, absentTooLong: longest > SUSPECT_MILLISECONDS }).toEqual({ orphans: true, heard: 25, absentTooLong: false })
  })

  // Both hubs of a data centre are lost at once, and the store, which would drop them from the member list, is unavailable. One or
  // two other instances become hubs because leaves connect to them.
  it('recovers when all hubs of a data centre are lost at once', async () => {
    const instances = await fleet()
    const there = instances.filter(({ member }) => member.dataCentre === 'dc-1')
    for (const each of there.filter(({ overlay }) => overlay.isHub)) network.kill(each)
    await network.clock.advance(RECOVERED_MILLISECONDS)
    const leaf = first(there, false)
    leaf.overlay.broadcast(notice('x'))
    await network.clock.advance(DELIVERY_MILLISECONDS)
    const hubs = there.filter(({ overlay, links }) => links.isUp && overlay.isHub).length
    expect([receivers(instances, leaf, 'x').heard, hubs === 1 || hubs === 2]).toEqual([24, true])
  })

  // A data centre is cut off: its instances reach only each other, and the others consider them unreachable. After the cut all
  // instances reach each other again, and notices sent meanwhile are replayed.
  it('keeps the instances of a data centre that is cut off connected to each other, and reconnects them afterwards', async () => {
    const instances = await fleet()
    const [inside, outside] = [instances.filter(({ member }) => member.dataCentre === 'dc-2'), instances.filter(({ member }) => member.dataCentre !== 'dc-2')]
    network.cut('dc-2' as DataCentreId)
    await network.clock.advance(RECOVERED_MILLISECONDS)
    const apart = [...new Set(inside.map((each) => reachableCount(each, instances))), ...new Set(outside.map((each) => reachableCount(each, instances)))]
    const sender = first(outside, false)
    const replayTo = (neighbour: SimulatedInstance): void => neighbour.overlay.onNeighbour((next) => neighbour.overlay.replay(next, [[sender.member.instance, notice('missed')]]))
    outside.filter(({ overlay }) => overlay.isHub).forEach(replayTo)
    network.heal()
    await network.clock.advance(RECOVERED_MILLISECONDS)
    const again = [...new Set(instances.map((each) => reachableCount(each, instances)))]
    expect({ apart, again, receiversInside: receivers(inside, sender, 'missed').heard }).toEqual({ apart: [8, 17], again: [26], receiversInside: 9 })
  })
})
