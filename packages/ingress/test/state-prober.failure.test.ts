// Guards against state that stays out of date because the call that waits for its changes waits on a connection that has fallen silent, and
// against a fleet in which each instance asks the store for what the others have just learnt.
import { silentLogger } from '@limpetwinch/core'
import type { StoredObject, WatchStep } from '@limpetwinch/core'
import { ResultAsync } from 'neverthrow'
import { afterEach, describe, expect, it } from 'vitest'
import { AcceptedConfiguration } from '../src/cluster-state/accepted-configuration.js'
import { AdapterVersions } from '../src/cluster-state/adapter-versions.js'
import { ClusterView } from '../src/cluster-state/cluster-view.js'
import { StateExchange } from '../src/cluster-state/state-exchange.js'
import { STATE_KINDS, StateFreshness } from '../src/cluster-state/state-freshness.js'
import { StateProber } from '../src/cluster-state/state-prober.js'
import type { StateKind } from '../src/cluster-state/state-freshness.js'
import type { ProbedSource } from '../src/cluster-state/state-prober.js'
import { StoreFollower } from '../src/cluster-state/store-follower.js'
import { StoreHealth } from '../src/cluster-state/store-health.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import { ManualClock } from './support/manual-clock.js'
import { MemoryStore } from './support/memory-store.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'

const LIMITS = { configuration: 2_000, endpoints: 2_000, announcements: 2_500, cluster: 3_000 }
const PATH = 'config/main'
/** Time in which the store answers a call. */
const ANSWER_MILLISECONDS = 4

const controllers: AbortController[] = []

afterEach(() => {
  for (const controller of controllers.splice(0)) controller.abort()
})

function untilEnd (): AbortSignal {
  const controller = new AbortController()
  controllers.push(controller)
  return controller.signal
}

/** A store whose watches wait for changes. Calls on connections that have fallen silent are never answered. */
class WatchedStore extends MemoryStore {
  readonly clock: ManualClock
  private readonly waiting = new Set<() => void>()
  private areOpenConnectionsSilent = false

  constructor (clock: ManualClock) {
    super()
    this.clock = clock
  }

  /** Lets calls on the connections that are open now wait without an end. */
  silence (): void {
    this.areOpenConnectionsSilent = true
    this.waiting.clear()
  }

  override renewConnections (): void {
    this.areOpenConnectionsSilent = false
  }

  override list (): ReturnType<MemoryStore['list']> {
    const listing = super.list()
    return ResultAsync.fromSafePromise(this.whenAnswered()).andThen(() => listing)
  }

  override watch (_prefix = '', cursor = 0, wait = 0, signal?: AbortSignal): ResultAsync<WatchStep, never> {
    return ResultAsync.fromSafePromise(this.whenAnswered().then(async () => {
      if (wait > 1 && this.writes <= cursor) await this.untilWritten(signal)
      return { cursor: this.writes, changes: [...this.objects.values()].filter(({ version }) => version > cursor) }
    }))
  }

  /** Writes the next version of the object and wakes the watches that are not silent. */
  async write (value: string): Promise<void> {
    await this.put({ path: PATH, ifVersion: this.objects.get(PATH)?.version ?? 0, value })
    for (const wake of [...this.waiting]) wake()
  }

  private async whenAnswered (): Promise<void> {
    if (this.areOpenConnectionsSilent) await new Promise(() => {})
    await this.clock.sleep(ANSWER_MILLISECONDS)
  }

  private async untilWritten (signal: AbortSignal | undefined): Promise<void> {
    await new Promise<void>((resolve) => {
      this.waiting.add(resolve)
      signal?.addEventListener('abort', () => resolve())
    })
  }
}

interface Reader {
  readonly clock: ManualClock
  readonly store: WatchedStore
  readonly follower: StoreFollower<unknown>
  readonly freshness: StateFreshness
  readonly applied: unknown[]
}

/** @returns a follower of one kind with a prober, which have read the first version */
async function reader (probesByListing: boolean): Promise<Reader> {
  const clock = new ManualClock()
  const store = new WatchedStore(clock)
  await store.write('first')
  const freshness = new StateFreshness(LIMITS, clock, silentLogger())
  const applied: unknown[] = []
  const follower = new StoreFollower<unknown>({
    store,
    health: new StoreHealth(silentLogger()),
    clock,
    logger: silentLogger(),
    kind: 'config',
    decode: ({ value }: StoredObject) => value,
    apply: (objects) => { applied.push(objects.get(PATH)) },
    onAnswer: (askedAt) => freshness.record('configuration', askedAt),
    probesByListing,
    watchMilliseconds: 8_000,
    paceMilliseconds: () => 50
  })
  const idle: ProbedSource = { activity: 'listing', probe: async () => 'failed', restartWatch: () => {} }
  const prober = new StateProber({
    clock,
    logger: silentLogger(),
    freshness,
    sources: { configuration: follower, endpoints: idle, announcements: idle, cluster: idle },
    isReader: () => true,
    renewConnections: () => store.renewConnections(),
    onAnswered: () => {},
    random: () => 1,
    firstStateMilliseconds: 0
  })
  const signal = untilEnd()
  void follower.run(signal)
  void prober.run(signal)
  await clock.advance(100)
  return { clock, store, follower, freshness, applied }
}

describe('a change of the store', () => {
  it.each([true, false])('is known within the limit of its kind when the connections have fallen silent (probes by listing: %s)', async (probesByListing) => {
    const { clock, store, applied } = await reader(probesByListing)
    store.silence()
    await store.write('second')
    await clock.advance(LIMITS.configuration - 100)
    expect(applied.at(-1)).toBe('second')
  })

  it('is delivered by the watch again once silent connections are replaced', async () => {
    const { clock, store, applied } = await reader(false)
    store.silence()
    await clock.advance(LIMITS.configuration)
    await store.write('second')
    await clock.advance(2 * ANSWER_MILLISECONDS)
    expect(applied.at(-1)).toBe('second')
  })

  // The store wakes no watch, and names revisions past changes that it has not delivered.
  it('is not skipped for good when the store answers a watch without it', async () => {
    const { clock, store, follower, applied } = await reader(false)
    await store.put({ path: PATH, ifVersion: 1, value: 'second' })
    const empty: WatchStep = { cursor: store.writes, changes: [] }
    const watch = store.watch.bind(store)
    let unwoken = 1
    store.watch = (prefix, cursor, wait, signal) => unwoken-- > 0 ? ResultAsync.fromSafePromise(Promise.resolve(empty)) : watch(prefix, cursor, wait, signal)
    follower.restartWatch()
    for (let step = 0; step < 5; step += 1) await clock.advance(ANSWER_MILLISECONDS)
    expect(applied.at(-1)).toBe('second')
  })
})

interface ProbingInstance {
  readonly isHub: boolean
  readonly freshness: StateFreshness
  readonly exchange: StateExchange
  /** Number of probes of this instance. */
  probes: number
  /** Lets the instance read a kind from the store and follow it. */
  readonly follow: (kind: StateKind) => void
}

/** Starts an exchange of state and a prober at an instance, whose probes are answered at once. */
function startProbing (network: SimulatedNetwork, { links, overlay }: SimulatedInstance, index: number, firstStateMilliseconds?: number): ProbingInstance {
  const { clock } = network
  const logger = silentLogger()
  const freshness = new StateFreshness(LIMITS, clock, logger)
  const exchange = new StateExchange(links, overlay, {
    configuration: new AcceptedConfiguration(logger),
    directory: new EndpointDirectory(logger),
    versions: new AdapterVersions(logger, 1),
    cluster: new ClusterView(() => {}),
    health: new StoreHealth(logger),
    freshness
  }, clock)
  const followed = new Set<StateKind>(firstStateMilliseconds === undefined && overlay.isHub ? STATE_KINDS : [])
  const started: ProbingInstance = {
    isHub: overlay.isHub,
    freshness,
    exchange,
    probes: 0,
    follow: (kind) => {
      if (!followed.has(kind)) freshness.record(kind, clock.now())
      followed.add(kind)
    }
  }
  const sources = Object.fromEntries(STATE_KINDS.map((kind) => [kind, {
    get activity () { return followed.has(kind) ? 'watching' : 'none' },
    probe: async () => {
      started.probes += 1
      const askedAt = clock.now()
      await clock.sleep(ANSWER_MILLISECONDS)
      freshness.record(kind, askedAt)
      return 'answered'
    },
    restartWatch: () => {}
  }])) as unknown as Record<typeof STATE_KINDS[number], ProbedSource>
  const random = sequence(index)
  const prober = new StateProber({ clock, logger, freshness, sources, isReader: () => exchange.needsStore, renewConnections: () => {}, onAnswered: () => exchange.shareProof(), random, firstStateMilliseconds: firstStateMilliseconds ?? 0 })
  const signal = untilEnd()
  void exchange.run(signal)
  void prober.run(signal)
  return started
}

/** @returns a generator of numbers from 0 to 1, different for each seed */
function sequence (seed: number): () => number {
  let state = seed + 1
  return () => {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }
}

describe('the store is asked by a fleet at rest', () => {
  const SETTLING_MILLISECONDS = 5_000
  const COUNTED_MILLISECONDS = 20_000
  /** Earliest age at which an instance asks, as a part of the limit. */
  const EARLIEST_SHARE = 0.35 * 0.7
  /** Probes of all kinds in the counted time if one instance alone kept itself current, asking for each as early as it may. */
  const BY_ONE = STATE_KINDS.reduce((sum, kind) => sum + COUNTED_MILLISECONDS / (EARLIEST_SHARE * LIMITS[kind]), 0)

  it.each([
    { title: 'eight instances that all read the store', instances: 8 },
    { title: 'forty instances of which a few read it for the others', instances: 40 }
  ])('hardly more often than by one instance, by $title', async ({ instances }) => {
    const network = new SimulatedNetwork(new ManualClock())
    network.start(2, instances / 2)
    await network.clock.advance(1_500)
    const probing = network.instances.map((instance, index) => startProbing(network, instance, index))
    await network.clock.advance(SETTLING_MILLISECONDS)
    for (const each of probing) each.probes = 0
    await network.clock.advance(COUNTED_MILLISECONDS)
    network.end()
    const byLeaves = probing.filter(({ isHub }) => !isHub).reduce((sum, { probes }) => sum + probes, 0)
    const all = probing.reduce((sum, { probes }) => sum + probes, 0)
    expect({ isMoreThanTwice: all > 2 * BY_ONE, byLeaves, areAllCurrent: probing.every(({ freshness }) => STATE_KINDS.every((kind) => !freshness.isOverdue(kind))) })
      .toEqual({ isMoreThanTwice: false, byLeaves: 0, areAllCurrent: true })
  }, 60_000)

  // When a whole fleet starts, hubs read the members alone for three seconds, and no member changes after the first.
  it('by no leaf of a fleet that starts', async () => {
    const network = new SimulatedNetwork(new ManualClock())
    network.start(2, 20)
    const probing = network.instances.map((instance, index) => startProbing(network, instance, index, 4_000))
    const hubs = probing.filter((_, index) => network.instances[index]?.overlay.isHub)
    const leaves = probing.filter((each) => !hubs.includes(each))
    const readingAt: number[] = []
    for (let passed = 100; passed <= 9_000; passed += 100) {
      await network.clock.advance(100)
      if (passed === 500) for (const hub of hubs) hub.follow('cluster')
      if (passed === 3_000) for (const hub of hubs) for (const kind of STATE_KINDS) hub.follow(kind)
      if (passed >= 1_000 && leaves.some(({ exchange }) => exchange.needsStore)) readingAt.push(passed)
    }
    network.end()
    expect({ leaves: leaves.length, readingAt, probes: leaves.reduce((sum, { probes }) => sum + probes, 0) }).toEqual({ leaves: 36, readingAt: [], probes: 0 })
  })

  it('by each instance itself when the connections between them are cut', async () => {
    const network = new SimulatedNetwork(new ManualClock())
    network.start(2, 2)
    await network.clock.advance(1_500)
    const probing = network.instances.map((instance, index) => startProbing(network, instance, index))
    for (const { links } of network.instances) links.isUp = false
    const oldest: number[] = []
    for (let passed = 0; passed < 5_000; passed += 100) {
      await network.clock.advance(100)
      oldest.push(Math.max(...probing.map(({ freshness }) => freshness.ageMilliseconds('configuration'))))
    }
    network.end()
    expect(oldest.filter((age) => age > LIMITS.configuration)).toEqual([])
  })
})
