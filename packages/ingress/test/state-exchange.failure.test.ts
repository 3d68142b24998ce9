// A leaf does not read the store: its hub does, and tells it what has changed. An entry that the hub still keeps after an outage
// must not count as gone at the leaf, or its callers would be refused beside a living endpoint; and a leaf whose hub cannot read
// the store reads for itself, or a new configuration would come into force nowhere in its data centre.
import { afterEach, describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { AcceptedConfiguration } from '../src/cluster-state/accepted-configuration.js'
import { AdapterVersions } from '../src/cluster-state/adapter-versions.js'
import { StateExchange } from '../src/cluster-state/state-exchange.js'
import { ClusterView } from '../src/cluster-state/cluster-view.js'
import { StoreHealth } from '../src/cluster-state/store-health.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import type { LoadOwner } from '../src/members/cluster-objects.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint } from './support/samples.js'

const SETTLED_MILLISECONDS = 1_500
const TOLD_MILLISECONDS = 1_000
/** After an outage of the store lapsed entries are back within this, or gone. */
const LAPSE_MILLISECONDS = 2_000

interface Believer {
  readonly directory: EndpointDirectory
  readonly health: StoreHealth
  readonly cluster: ClusterView
  readonly exchange: StateExchange
  readonly holders: Map<EndpointId, LoadOwner>
}

let world: SimulatedNetwork
let endings: AbortController[] = []

afterEach(() => {
  world.end()
  for (const ending of endings) ending.abort()
  endings = []
})

function believer ({ links, overlay }: SimulatedInstance): Believer {
  const logger = silentLogger()
  const [directory, health] = [new EndpointDirectory(logger), new StoreHealth(logger)]
  const holders = new Map<EndpointId, LoadOwner>()
  const cluster = new ClusterView(({ loadOwners: listed }) => {
    holders.clear()
    for (const holder of listed) holders.set(holder.endpoint, holder)
  })
  const beliefs = { configuration: new AcceptedConfiguration(logger), directory, versions: new AdapterVersions(logger, 1), cluster, health }
  const exchange = new StateExchange(links, overlay, beliefs, world.clock)
  const ending = new AbortController()
  endings.push(ending)
  void exchange.run(ending.signal)
  return { directory, health, cluster, exchange, holders }
}

async function fleet (): Promise<{ readonly hub: Believer, readonly leaf: Believer, readonly hubs: readonly Believer[] }> {
  world = new SimulatedNetwork(new ManualClock())
  world.start(1, 22)
  const believers = new Map(world.instances.map((instance) => [instance, believer(instance)]))
  await world.clock.advance(SETTLED_MILLISECONDS)
  const hubs = world.instances.filter(({ overlay }) => overlay.isHub)
  const [first] = hubs
  const leaf = world.instances.find(({ overlay, links }) => !overlay.isHub && links.isConnected(first?.member.instance as InstanceId))
  const [hubBelieves, leafBelieves] = [first, leaf].map((each) => each === undefined ? undefined : believers.get(each))
  if (hubBelieves === undefined || leafBelieves === undefined) throw new Error('There is no such instance.')
  return { hub: hubBelieves, leaf: leafBelieves, hubs: hubs.flatMap((each) => believers.get(each) ?? []) }
}

function ids ({ directory }: Believer): readonly EndpointId[] {
  return directory.all().map(({ id }) => id)
}

describe('beliefs of a leaf', () => {
  it('follow those of its hub, by what has changed', async () => {
    const { hub, leaf } = await fleet()
    const holder = (name: string, token: number): LoadOwner => ({ endpoint: name as EndpointId, holder: 'h', previous: undefined, claimedAt: 0, token: token as FencingToken })
    hub.health.answered(world.clock.now())
    hub.directory.apply({ revision: 5, endpoints: [endpoint('a', { revision: 2 }), endpoint('b', { revision: 5 })] }, undefined, world.clock.now())
    hub.cluster.apply([{ kind: 'holder', holder: holder('a', 3) }, { kind: 'holder', holder: holder('b', 4) }], 5)
    await world.clock.advance(TOLD_MILLISECONDS)
    const first = [ids(leaf), [...leaf.holders.keys()]]
    hub.directory.apply({ revision: 9, endpoints: [endpoint('b', { revision: 5 }), endpoint('c', { revision: 9 })] }, undefined, world.clock.now())
    hub.cluster.apply([{ kind: 'holder', holder: holder('b', 8) }], 9)
    await world.clock.advance(TOLD_MILLISECONDS)
    expect([first, ids(leaf), [...leaf.holders.values()].map(({ token }) => token)]).toEqual([[['a', 'b'], ['a', 'b']], ['b', 'c'], [8]])
  })

  it('keep an endpoint that lapsed in an outage of the store for as long as the hub does', async () => {
    const { hub, leaf } = await fleet()
    hub.directory.apply({ revision: 5, endpoints: [endpoint('a'), endpoint('b')] }, undefined, world.clock.now())
    await world.clock.advance(TOLD_MILLISECONDS)
    hub.directory.apply({ revision: 6, endpoints: [endpoint('a')] }, world.clock.now(), world.clock.now())
    await world.clock.advance(TOLD_MILLISECONDS)
    const during = ids(leaf)
    await world.clock.advance(LAPSE_MILLISECONDS)
    leaf.directory.expire(world.clock.now())
    expect([during, ids(leaf)]).toEqual([['a', 'b'], ['a']])
  })

  it('are read from the store only where no hub reads it', async () => {
    const { hub, leaf, hubs } = await fleet()
    for (const each of hubs) each.health.answered(world.clock.now())
    await world.clock.advance(TOLD_MILLISECONDS)
    const whileReading = [hub.exchange.needsStore, leaf.exchange.needsStore]
    for (const each of hubs) each.health.failed('turned away', world.clock.now())
    await world.clock.advance(6_000)
    expect([whileReading, leaf.exchange.needsStore]).toEqual([[true, false], true])
  })

  // The store turns both hubs away, and each has just heard from the other that all is well. Were that passed to and fro, they
  // would take each other's word for news for ever, and no leaf would ever look for itself.
  // A leaf was paused. Its hub has given it up, which it does not see yet, and what it was told is as old as the pause.
  it('are read from the store after a pause, until the hub speaks again', async () => {
    const { hub, leaf } = await fleet()
    hub.health.answered(world.clock.now())
    await world.clock.advance(TOLD_MILLISECONDS)
    leaf.exchange.markStale()
    const paused = leaf.exchange.needsStore
    hub.health.answered(world.clock.now())
    await world.clock.advance(2 * TOLD_MILLISECONDS)
    expect([paused, leaf.exchange.needsStore]).toEqual([true, false])
  })

  // A leaf begins to read again and has no answer yet. Its last one is long ago; were it offered as news, its hub would tell it
  // back, and the leaf would stop to read before it has read anything.
  it('are not called new by one whose last answer is long ago', async () => {
    const { leaf, hubs } = await fleet()
    leaf.health.answered(world.clock.now())
    await world.clock.advance(10_000)
    const before = leaf.exchange.needsStore
    await world.clock.advance(1_000)
    expect([before, leaf.exchange.needsStore, hubs.every(({ exchange }) => exchange.needsStore)]).toEqual([true, true, true])
  })

  it('are read from the store when hubs know it only from each other', async () => {
    const { leaf, hubs } = await fleet()
    for (const each of hubs) each.health.answered(world.clock.now())
    for (const [index, each] of hubs.entries()) each.directory.apply({ revision: 5 + index, endpoints: [endpoint('a')] }, undefined, world.clock.now())
    await world.clock.advance(TOLD_MILLISECONDS)
    for (const each of hubs) each.health.failed('turned away', world.clock.now())
    await world.clock.advance(6_000)
    expect(leaf.exchange.needsStore).toBe(true)
  })
})
