// A leaf gets the state of the store from its hub. If it dropped an endpoint that the hub keeps after an outage of the store, it
// would refuse callers although the endpoint is alive. If it did not read the store itself when its hub cannot, a new
// configuration would reach no instance of its data centre.
import { afterEach, describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { AcceptedConfiguration } from '../src/cluster-state/accepted-configuration.js'
import { AdapterVersions } from '../src/cluster-state/adapter-versions.js'
import { StateExchange } from '../src/cluster-state/state-exchange.js'
import { ClusterView } from '../src/cluster-state/cluster-view.js'
import { STATE_KINDS, StateFreshness } from '../src/cluster-state/state-freshness.js'
import type { StateKind } from '../src/cluster-state/state-freshness.js'
import { StoreHealth } from '../src/cluster-state/store-health.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import type { LoadOwner } from '../src/members/cluster-objects.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint } from './support/samples.js'

const STARTUP_MILLISECONDS = 1_500
const EXCHANGE_MILLISECONDS = 1_000
/** Time after an outage of the store in which lapsed entries are listed again or removed. */
const LAPSE_MILLISECONDS = 2_000

const LIMITS = { configuration: 3_000, endpoints: 3_000, announcements: 2_500, cluster: 3_000 }

interface StatefulInstance {
  readonly directory: EndpointDirectory
  readonly health: StoreHealth
  readonly freshness: StateFreshness
  readonly cluster: ClusterView
  readonly exchange: StateExchange
  readonly loadOwners: Map<EndpointId, LoadOwner>
}

let network: SimulatedNetwork
let controllers: AbortController[] = []

afterEach(() => {
  network.end()
  for (const controller of controllers) controller.abort()
  controllers = []
})

function createState ({ links, overlay }: SimulatedInstance): StatefulInstance {
  const logger = silentLogger()
  const directory = new EndpointDirectory(logger)
  const loadOwners = new Map<EndpointId, LoadOwner>()
  const freshness = new StateFreshness(LIMITS, network.clock, logger)
  const health = new StoreHealth(logger, () => freshness.ageMilliseconds('endpoints'))
  const cluster = new ClusterView(({ loadOwners: listed }) => {
    loadOwners.clear()
    for (const loadOwner of listed) loadOwners.set(loadOwner.endpoint, loadOwner)
  })
  const state = { configuration: new AcceptedConfiguration(logger), directory, versions: new AdapterVersions(logger, 1), cluster, health, freshness }
  const exchange = new StateExchange(links, overlay, state, network.clock)
  const controller = new AbortController()
  controllers.push(controller)
  void exchange.run(controller.signal)
  return { directory, health, freshness, cluster, exchange, loadOwners }
}

async function fleet (): Promise<{ readonly hub: StatefulInstance, readonly leaf: StatefulInstance, readonly hubs: readonly StatefulInstance[] }> {
  network = new SimulatedNetwork(new ManualClock())
  network.start(1, 22)
  const states = new Map(network.instances.map((instance) => [instance, createState(instance)]))
  await network.clock.advance(STARTUP_MILLISECONDS)
  const hubs = network.instances.filter(({ overlay }) => overlay.isHub)
  const [first] = hubs
  const leaf = network.instances.find(({ overlay, links }) => !overlay.isHub && links.isConnected(first?.member.instance as InstanceId))
  const [hubState, leafState] = [first, leaf].map((each) => each === undefined ? undefined : states.get(each))
  if (hubState === undefined || leafState === undefined) throw new Error('The fleet has no hub with a leaf.')
  return { hub: hubState, leaf: leafState, hubs: hubs.flatMap((each) => states.get(each) ?? []) }
}

/** The store answers an instance: it reads it now and knows all kinds of state. */
function answered (instance: StatefulInstance, kinds: readonly StateKind[] = STATE_KINDS): void {
  instance.health.answered(network.clock.now())
  for (const kind of kinds) instance.freshness.record(kind, network.clock.now())
}

function ids ({ directory }: StatefulInstance): readonly EndpointId[] {
  return directory.all().map(({ id }) => id)
}

describe('state of a leaf', () => {
  it('follows the state of its hub, from the changed objects', async () => {
    const { hub, leaf } = await fleet()
    const loadOwner = (name: string, token: number): LoadOwner => ({ endpoint: name as EndpointId, holder: 'h', previous: undefined, claimedAt: 0, token: token as FencingToken })
    answered(hub)
    hub.directory.apply({ revision: 5, endpoints: [endpoint('a', { revision: 2 }), endpoint('b', { revision: 5 })] }, undefined, network.clock.now())
    hub.cluster.apply([{ kind: 'holder', holder: loadOwner('a', 3) }, { kind: 'holder', holder: loadOwner('b', 4) }], 5)
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    const first = [ids(leaf), [...leaf.loadOwners.keys()]]
    hub.directory.apply({ revision: 9, endpoints: [endpoint('b', { revision: 5 }), endpoint('c', { revision: 9 })] }, undefined, network.clock.now())
    hub.cluster.apply([{ kind: 'holder', holder: loadOwner('b', 8) }], 9)
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    expect([first, ids(leaf), [...leaf.loadOwners.values()].map(({ token }) => token)]).toEqual([[['a', 'b'], ['a', 'b']], ['b', 'c'], [8]])
  })

  it('keeps an endpoint that lapsed in an outage of the store for as long as the hub does', async () => {
    const { hub, leaf } = await fleet()
    hub.directory.apply({ revision: 5, endpoints: [endpoint('a'), endpoint('b')] }, undefined, network.clock.now())
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    hub.directory.apply({ revision: 6, endpoints: [endpoint('a')] }, network.clock.now(), network.clock.now())
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    const during = ids(leaf)
    await network.clock.advance(LAPSE_MILLISECONDS)
    leaf.directory.expire(network.clock.now())
    expect([during, ids(leaf)]).toEqual([['a', 'b'], ['a']])
  })

  // Guards against an endpoint that gets requests for two seconds after it was removed, at all instances, because an instance that the store alone refused
  // says of the entry that it lapsed in an outage.
  it('drops an endpoint at once that an instance kept which the store alone has refused', async () => {
    const { hub, hubs } = await fleet()
    const refused = hubs.find((each) => each !== hub)
    if (refused === undefined) throw new Error('the fleet has one hub only')
    for (const each of [hub, refused]) each.directory.apply({ revision: 5, endpoints: [endpoint('a'), endpoint('b')] }, undefined, network.clock.now())
    refused.health.failed('refused', network.clock.now())
    for (let passed = 0; passed < 4_000; passed += EXCHANGE_MILLISECONDS / 2) {
      answered(hub)
      hub.exchange.shareProof()
      await network.clock.advance(EXCHANGE_MILLISECONDS / 2)
    }
    answered(refused)
    refused.directory.apply({ revision: 6, endpoints: [endpoint('a')] }, refused.health.recentOutageEnd(network.clock.now()), network.clock.now())
    expect(ids(refused)).toEqual(['a'])
    // One that is cut off from its peers too cannot tell, but the others can.
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    refused.directory.apply({ revision: 7, endpoints: [] }, network.clock.now(), network.clock.now())
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    expect([ids(refused), ids(hub)]).toEqual([['a'], []])
  })

  it('is read from the store only while no hub reads it', async () => {
    const { hub, leaf, hubs } = await fleet()
    for (const each of hubs) answered(each)
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    const whileHubReads = [hub.exchange.needsStore, leaf.exchange.needsStore]
    for (const each of hubs) each.health.failed('turned away', network.clock.now())
    await network.clock.advance(6_000)
    expect([whileHubReads, leaf.exchange.needsStore]).toEqual([[true, false], true])
  })

  // The watch of the configuration at the hub waits on a connection that has fallen silent, while its other calls are answered. If the leaf
  // took these for a sign that the hub knows everything, a new configuration would be in force too late at all leaves of the hub.
  it('is read from the store when its hub reads it but is not proved to know one kind of state', async () => {
    const { hub, leaf } = await fleet()
    const others = STATE_KINDS.filter((kind) => kind !== 'configuration')
    answered(hub)
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    const before = leaf.exchange.needsStore
    for (let passed = 0; passed < LIMITS.configuration; passed += EXCHANGE_MILLISECONDS) {
      answered(hub, others)
      await network.clock.advance(EXCHANGE_MILLISECONDS)
    }
    expect([before, leaf.exchange.needsStore]).toEqual([false, true])
  })

  // A leaf was paused: its hub may have dropped it without the leaf noticing yet, and its state is as old as the pause.
  it('is read from the store after a process pause, until the hub makes an offer again', async () => {
    const { hub, leaf } = await fleet()
    answered(hub)
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    leaf.exchange.markStale()
    const paused = leaf.exchange.needsStore
    answered(hub)
    await network.clock.advance(2 * EXCHANGE_MILLISECONDS)
    expect([paused, leaf.exchange.needsStore]).toEqual([true, false])
  })

  // A leaf starts to read the store again and has no response yet. If it offered its last read, which is long ago, as recent, its
  // hub would pass that back and the leaf would stop reading before it has read anything.
  it('is not offered as recent by an instance whose last response from the store is long ago', async () => {
    const { leaf, hubs } = await fleet()
    answered(leaf)
    await network.clock.advance(10_000)
    const beforeOffers = leaf.exchange.needsStore
    await network.clock.advance(1_000)
    expect([beforeOffers, leaf.exchange.needsStore, hubs.every(({ exchange }) => exchange.needsStore)]).toEqual([true, true, true])
  })

  // The store rejects both hubs, and each has just learnt of a read from the other. If the age of that read did not grow while it
  // is passed back and forth, both would consider it recent for ever, and no leaf would read the store itself.
  it('is read from the store when the hubs know of reads only from each other', async () => {
    const { leaf, hubs } = await fleet()
    for (const each of hubs) answered(each)
    for (const [index, each] of hubs.entries()) each.directory.apply({ revision: 5 + index, endpoints: [endpoint('a')] }, undefined, network.clock.now())
    await network.clock.advance(EXCHANGE_MILLISECONDS)
    for (const each of hubs) each.health.failed('turned away', network.clock.now())
    await network.clock.advance(6_000)
    expect(leaf.exchange.needsStore).toBe(true)
  })
})
