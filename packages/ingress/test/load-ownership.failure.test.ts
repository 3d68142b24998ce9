// Guards against two load owners of one engine. The owner is lost, partitioned or paused, and another instance takes over. If both
// sent orders within one lease, the engine could evict for one what it has loaded for the other, and callers would be refused. The new
// owner therefore claims the ownership in the store and waits a lease before its first order, and an instance that learns that it has
// lost the ownership stops at once.
import { describe, expect, it } from 'vitest'
import { LimpetwinchError, silentLogger } from '@limpetwinch/core'
import type { DataCentreId, DeletingObjectStore, InstanceId } from '@limpetwinch/core'
import { StallEvictionPolicy } from '@limpetwinch/decisions'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { err, errAsync, ok, okAsync } from 'neverthrow'
import type { Result, ResultAsync } from 'neverthrow'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import type { EngineControl, EngineOrder, OrderAnswer, OrderTarget } from '../src/adapters/engine-control.js'
import { LoadOwnership } from '../src/adapters/load-ownership.js'
import { ModelLoadRateLimiter } from '../src/adapters/model-load-rate-limiter.js'
import { WeightStoreLimiter } from '../src/adapters/weight-store-limiter.js'
import { AcceptedConfiguration } from '../src/cluster-state/accepted-configuration.js'
import { StoreHealth } from '../src/cluster-state/store-health.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import { CLUSTER_KIND, decodeClusterObject, loadOwnerPath } from '../src/members/cluster-objects.js'
import type { MemberList } from '../src/members/member-list.js'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint, engineShape, key, route, service } from './support/samples.js'
import { SimulatedEngine } from './support/simulated-engine.js'
import { SimulatedEngineControl } from './support/simulated-engine-control.js'

const LEASE = 3_000
const HERE = 'here' as DataCentreId

class StoreUnderTest extends MemoryObjectStore {
  /** Host whose next claim takes effect without an answer. */
  losesAnswerOf: string | undefined

  override put (change: Parameters<MemoryObjectStore['put']>[0]): ReturnType<MemoryObjectStore['put']> {
    const written = super.put(change)
    if ((change.value as { holder?: string }).holder !== this.losesAnswerOf) return written
    this.losesAnswerOf = undefined
    return written.andThen(() => errAsync(new LimpetwinchError('store-answer-lost', { reason: 'the test loses it' })))
  }

  remove (): ResultAsync<void, LimpetwinchError> {
    return okAsync(undefined)
  }
}

interface OrderSeen {
  readonly by: string
  readonly token: number
  readonly at: number
}

/** An engine that checks fencing tokens if requested, and records who sent it orders and when. */
class EnginesUnderTest extends SimulatedEngineControl {
  readonly seen: OrderSeen[] = []
  private highest = 0

  constructor (private readonly clock: ManualClock, private readonly checksTokens: boolean) {
    super(new SimulatedEngine({ slots: 2 }))
  }

  override async order (target: OrderTarget, order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>> {
    if (this.checksTokens && target.token < this.highest) return ok('stale-token')
    this.highest = Math.max(this.highest, target.token)
    this.seen.push({ by: target.holder, token: target.token, at: this.clock.now() })
    return await super.order(target, order)
  }
}

interface TestCluster {
  readonly clock: ManualClock
  readonly store: StoreUnderTest
  readonly engines: EnginesUnderTest
  /** Names of the instances that are reachable by others. */
  readonly reachable: Set<string>
  /** Names of the instances that cannot reach the engine. */
  readonly engineUnreachableFrom: Set<string>
  /** Names of the instances that have announced that they do not reach the engines over their own links. */
  readonly cutOff: Set<string>
  /** Data centres of the instances that are not in the engine's own data centre. */
  readonly dataCentres: Map<string, string>
}

interface Instance {
  readonly ownership: LoadOwnership
  readonly health: StoreHealth
  /** Applies a listing in which the engine has started again under its id, at this time. */
  readonly restartEngine: (born: number) => void
  /** Reads the store and applies the listing, as the instance's store follower would. */
  readonly readStore: () => Promise<void>
  readonly requestLoad: () => void
}

function testCluster (checksTokens = true): TestCluster {
  const clock = new ManualClock()
  return {
    clock,
    store: new StoreUnderTest(),
    engines: new EnginesUnderTest(clock, checksTokens),
    reachable: new Set(['one', 'two']),
    engineUnreachableFrom: new Set(),
    cutOff: new Set(),
    dataCentres: new Map()
  }
}

function instance (name: string, { clock, store, engines, reachable, engineUnreachableFrom, cutOff, dataCentres }: TestCluster, fencedEndpoints = true): Instance {
  const logger = silentLogger()
  const health = new StoreHealth(logger)
  const configuration = new AcceptedConfiguration(logger)
  configuration.apply({ version: 1, routes: [route()], services: [service('engines', engineShape())], limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 }, teams: [] }, 'store')
  const directory = new EndpointDirectory(logger)
  directory.apply({ revision: 1, endpoints: [endpoint('e', { service: 'engines' })] }, undefined, clock.now())
  const dataCentreOf = (each: string): DataCentreId => (dataCentres.get(each) ?? HERE) as DataCentreId
  const live = (): { name: string, dataCentre: DataCentreId }[] => [...reachable].map((each) => ({ name: each, dataCentre: dataCentreOf(each) }))
  const members = {
    self: { name, instance: name as InstanceId, address: '', dataCentre: dataCentreOf(name) },
    hasListing: true,
    live,
    isLive: (each: string) => reachable.has(each),
    isReachable: (each: string) => reachable.has(each),
    find: (each: string) => ({ instance: each as InstanceId, dataCentre: dataCentreOf(each) })
  } as unknown as MemberList
  const ownership = new LoadOwnership({
    store: store as unknown as DeletingObjectStore, health, clock, logger, members, directory, configuration, leaseMilliseconds: LEASE, fencedEndpoints, reachesService: (each) => !cutOff.has(each), isBackingOff: () => false
  }, {
    control: engineControlOf(name, engines, engineUnreachableFrom),
    clock,
    logger,
    locations: new AdapterLocations(),
    workTracker: new EndpointWorkTracker(),
    policy: new StallEvictionPolicy(),
    modelLoadLimiter: new ModelLoadRateLimiter(clock, () => 1),
    storeLimiter: new WeightStoreLimiter(() => 13),
    latestVersion: () => 0,
    recallsPreviousAt: () => undefined,
    isModelNeeded: () => true,
    publish: () => {},
    noticeRoundTripMilliseconds: () => 30,
    onUnreachable: () => {}
  })
  const readStore = async (): Promise<void> => {
    const listing = await store.list(`${CLUSTER_KIND}/`)
    if (listing.isErr()) return
    health.answered(clock.now())
    const owners = listing.value.objects.flatMap((object) => {
      const decoded = decodeClusterObject(object)
      return decoded?.kind === 'holder' ? [decoded.holder] : []
    })
    ownership.apply(owners, listing.value.cursor)
  }
  void ownership.run(new AbortController().signal)
  let requested = 0
  const requestLoad = (): void => ownership.loader(endpoint('e').id)?.requestLoad(key(`${name}${requested++}`), 0, { request: name, onTimeMilliseconds: undefined })
  const restartEngine = (born: number): void => {
    directory.apply({ revision: born, endpoints: [endpoint('e', { service: 'engines', born, revision: born })] }, undefined, clock.now())
  }
  return { ownership, health, restartEngine, readStore, requestLoad }
}

/** @returns the engine control of one instance, which fails while the instance cannot reach the engine */
function engineControlOf (name: string, engines: EnginesUnderTest, engineUnreachableFrom: ReadonlySet<string>): EngineControl {
  const unreachable = err(new LimpetwinchError('endpoint-refused', { endpoint: 'e', reason: 'no connection' }))
  return {
    order: async (target: OrderTarget, order: EngineOrder) => engineUnreachableFrom.has(name) ? unreachable : await engines.order(target, order),
    report: async () => engineUnreachableFrom.has(name) ? unreachable : await engines.report()
  } as unknown as EngineControl
}

async function advance (milliseconds: number, { clock }: TestCluster, ...instances: readonly Instance[]): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 100) {
    await clock.advance(100)
    for (const each of instances) {
      await each.readStore()
      each.requestLoad()
    }
  }
}

describe('the load ownership of an engine', () => {
  it('goes to exactly one of two instances, which begins at once', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    expect(new Set(cluster.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  it('passes to the other instance after a loss, but not within a lease of the last order', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    cluster.reachable.delete(first)
    await advance(8_000, cluster, first === 'one' ? two : one)
    const last = cluster.engines.seen.findLast(({ by }) => by === first)
    const next = cluster.engines.seen.find(({ by }) => by !== first)
    expect({ taken: next !== undefined, apartByLease: (next?.at ?? 0) - (last?.at ?? 0) > LEASE, newer: (next?.token ?? 0) > (last?.token ?? 0) }).toEqual({ taken: true, apartByLease: true, newer: true })
  })

  it('ends for the previous owner as soon as it reads the new claim, at least a lease before the first order of the new owner', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    cluster.reachable.delete(first)
    // The first owner is only unreachable by the other instance: it goes on until it learns of the claim from the store.
    await advance(8_000, cluster, one, two)
    const turns = cluster.engines.seen.filter(({ by }, index) => index > 0 && by !== cluster.engines.seen[index - 1]?.by)
    const last = cluster.engines.seen.findLast(({ by }) => by === first)
    expect({ turns: turns.length, apartByLease: (turns[0]?.at ?? 0) - (last?.at ?? 0) > LEASE }).toEqual({ turns: 1, apartByLease: true })
  })

  it('ends by itself where engines check no tokens and the store is unreachable, before another instance may begin', async () => {
    const cluster = testCluster(false)
    const [one, two] = [instance('one', cluster, false), instance('two', cluster, false)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    const [cut, other] = first === 'one' ? [one, two] : [two, one]
    cluster.reachable.delete(first)
    for (let passed = 0; passed < 8_000; passed += 100) {
      await cluster.clock.advance(100)
      cut.requestLoad()
      await other.readStore()
      other.requestLoad()
    }
    const last = cluster.engines.seen.findLast(({ by }) => by === first)
    const next = cluster.engines.seen.find(({ by }) => by !== first)
    expect({ taken: next !== undefined, apartByLease: (next?.at ?? 0) - (last?.at ?? 0) > LEASE }).toEqual({ taken: true, apartByLease: true })
  })

  // An instance is stopped, and its host soon runs a new one, which may continue at once. If another instance claimed the engines
  // immediately, it would have to wait a lease, and so would the callers of cold adapters.
  it('stays with a host whose instance restarts soon', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    cluster.reachable.delete(first)
    await advance(1_800, cluster, first === 'one' ? two : one)
    cluster.reachable.add(first)
    await advance(3_000, cluster, one, two)
    expect(new Set(cluster.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // Guards against engines whose adapters nobody can load: their owner is alive to its peers and to the store, but has lost its links to the engines.
  it('passes to an instance that reaches the engine when its owner does not, and stays there', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    cluster.engineUnreachableFrom.add(first)
    cluster.cutOff.add(first)
    await advance(8_000, cluster, one, two)
    cluster.engineUnreachableFrom.clear()
    cluster.cutOff.clear()
    await advance(4_000, cluster, one, two)
    const turns = cluster.engines.seen.filter(({ by }, index) => index > 0 && by !== cluster.engines.seen[index - 1]?.by)
    const last = cluster.engines.seen.findLast(({ by }) => by === first)
    expect({ turns: turns.length, apartByLease: (turns[0]?.at ?? 0) - (last?.at ?? 0) > LEASE }).toEqual({ turns: 1, apartByLease: true })
  })

  it('stays with its owner through a cut from the engines that is shorter than the lease that a claim costs', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    cluster.cutOff.add(cluster.engines.seen.at(-1)?.by ?? '')
    await advance(800, cluster, one, two)
    cluster.cutOff.clear()
    await advance(4_000, cluster, one, two)
    expect(new Set(cluster.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // A data centre is partitioned together with its engine and the engine's load owner. If another instance claimed the engine, no instance
  // could order its loads, and after the partition none for another lease: requests for cold adapters would be refused all that time.
  it('is not claimed by an instance that cannot reach the engine', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    const other = first === 'one' ? two : one
    cluster.reachable.delete(first)
    cluster.engineUnreachableFrom.add(first === 'one' ? 'two' : 'one')
    await advance(9_000, cluster, other)
    cluster.reachable.add(first)
    cluster.engineUnreachableFrom.clear()
    await advance(2_000, cluster, one, two)
    expect(new Set(cluster.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // An instance is partitioned from the store and its peers for a while. When the store responds again, its peers are still
  // unreachable for a moment. If it claimed all engines then, each would go without loads for a lease.
  it('is not claimed by an instance that was partitioned and cannot reach its peers yet', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const first = cluster.engines.seen.at(-1)?.by ?? ''
    const [holder, cut] = first === 'one' ? [one, two] : [two, one]
    cluster.reachable.delete(first)
    for (let passed = 0; passed < 6_000; passed += 100) {
      cut.health.failed('cut off', cluster.clock.now())
      await cluster.clock.advance(100)
      holder.requestLoad()
    }
    await advance(1_000, cluster, cut)
    cluster.reachable.add(first)
    await advance(3_000, cluster, one, two)
    expect(new Set(cluster.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // The only instance of a data centre was replaced; in the meantime an instance of another data centre owned its engine. If it kept
  // the engine, the data centre could load no adapter during its next partition. The new instance takes the engine back.
  it('returns to the engine\'s own data centre when that has an instance again', async () => {
    const cluster = testCluster()
    cluster.reachable.delete('one')
    cluster.dataCentres.set('two', 'there')
    const two = instance('two', cluster)
    await advance(4_000, cluster, two)
    cluster.reachable.add('one')
    const one = instance('one', cluster)
    await advance(25_000, cluster, one, two)
    const by = cluster.engines.seen.map((each) => each.by)
    const turn = by.indexOf('one')
    const [last, first] = [cluster.engines.seen[turn - 1], cluster.engines.seen[turn]]
    expect({ before: by[0], after: by.at(-1), turns: by.filter((each, index) => index > 0 && each !== by[index - 1]).length, apartByLease: (first?.at ?? 0) - (last?.at ?? 0) > LEASE })
      .toEqual({ before: 'two', after: 'one', turns: 1, apartByLease: true })
  })

  // A host claimed an engine three seconds ago, and its process was killed and restarted. Only the wall clock shows how old the claim
  // is, and the clock may have been set. Endpoints that check fencing tokens refuse the previous owner in any case, so the rest of the
  // lease is enough; with other endpoints the new process waits for the whole lease.
  it.each([
    [true, 'sooner'], [false, 'later']
  ])('is continued by a new process of its host, where tokens are checked (%s) %s than after a lease', async (fenced, when) => {
    const cluster = testCluster(fenced)
    cluster.reachable.delete('two')
    await cluster.store.put({ path: loadOwnerPath(endpoint('e').id), ifVersion: 0, value: { holder: 'one', previous: 'two', claimedAt: Date.now() - 3_000 } })
    const startedAt = cluster.clock.now()
    const one = instance('one', cluster, fenced)
    await advance(7_000, cluster, one)
    const first = (cluster.engines.seen[0]?.at ?? Infinity) - startedAt
    expect({ ordered: first < 7_000, when: first < LEASE ? 'sooner' : 'later' }).toEqual({ ordered: true, when })
  })

  // Guards against two owners within a lease: an instance claims an engine again, the claim's answer is lost, and the wait counts from its earlier claim.
  it('is not continued within a lease of the last order of the owner between, when the answer to the second claim is lost', async () => {
    const cluster = testCluster(false)
    cluster.reachable.delete('two')
    cluster.dataCentres.set('two', 'there')
    const one = instance('one', cluster, false)
    await advance(4_000, cluster, one)
    cluster.reachable.delete('one')
    cluster.reachable.add('two')
    const two = instance('two', cluster, false)
    await advance(12_000, cluster, two)
    cluster.reachable.add('one')
    cluster.store.losesAnswerOf = 'one'
    await advance(25_000, cluster, one, two)
    const { seen } = cluster.engines
    const back = seen.findIndex(({ by }, index) => index > 0 && by === 'one' && seen[index - 1]?.by === 'two')
    expect({ by: [...new Set(seen.map(({ by }) => by))], isLost: cluster.store.losesAnswerOf === undefined, apartByLease: (seen[back]?.at ?? 0) - (seen[back - 1]?.at ?? 0) > LEASE })
      .toEqual({ by: ['one', 'two'], isLost: true, apartByLease: true })
  })

  // Guards against a host whose wall clock was set by minutes between a claim and its next process: the claim looked far too old to wait for.
  it('is continued only after a lease where tokens are not checked, however old the claim seems', async () => {
    const cluster = testCluster(false)
    cluster.reachable.delete('two')
    await cluster.store.put({ path: loadOwnerPath(endpoint('e').id), ifVersion: 0, value: { holder: 'one', previous: 'two', claimedAt: Date.now() - 600_000 } })
    const startedAt = cluster.clock.now()
    const one = instance('one', cluster, false)
    await advance(7_000, cluster, one)
    const first = (cluster.engines.seen[0]?.at ?? Infinity) - startedAt
    expect({ ordered: first < 7_000, apartByLease: first > LEASE }).toEqual({ ordered: true, apartByLease: true })
  })

  // Guards against an order that outlasts a restart of its engine under the same id: the engine has forgotten the token and the count, and only a
  // newer token keeps the order out once the count is the same again.
  it('gets a newer token for each life of an engine that keeps its id, and is not interrupted', async () => {
    const cluster = testCluster()
    cluster.reachable.delete('two')
    const one = instance('one', cluster)
    await advance(4_000, cluster, one)
    const before = cluster.engines.seen.at(-1)
    one.restartEngine(200)
    const restartedAt = cluster.clock.now()
    await advance(4_000, cluster, one)
    const later = cluster.engines.seen.filter(({ at }) => at > restartedAt)
    expect({ isNewer: later.length > 0 && later.every(({ token }) => token > (before?.token ?? Infinity)), isSoon: (later[0]?.at ?? Infinity) - restartedAt < LEASE }).toEqual({ isNewer: true, isSoon: true })
  })

  // Guards against the same restart while no process of the owner's host ran: the next process finds the token of the earlier life.
  it('gets a newer token when the engine restarted before its owner\'s next process began', async () => {
    const cluster = testCluster()
    cluster.reachable.delete('two')
    const one = instance('one', cluster)
    await advance(4_000, cluster, one)
    one.ownership.stop()
    const before = cluster.engines.seen.at(-1)?.token ?? Infinity
    const next = instance('one', cluster)
    next.restartEngine(200)
    const startedAt = cluster.clock.now()
    await advance(4_000, cluster, next)
    const later = cluster.engines.seen.filter(({ at }) => at > startedAt)
    expect(later.length > 0 && later.every(({ token }) => token > before)).toBe(true)
  })

  it('is suspended after a process pause until the store has been read', async () => {
    const cluster = testCluster()
    const [one, two] = [instance('one', cluster), instance('two', cluster)]
    await advance(4_000, cluster, one, two)
    const before = cluster.engines.seen.length
    for (const each of [one, two]) each.ownership.pauseUntil(cluster.clock.now() + 1_000)
    await advance(900, cluster, one, two)
    const during = cluster.engines.seen.length
    await advance(1_000, cluster, one, two)
    expect({ during: during - before, after: cluster.engines.seen.length > during }).toEqual({ during: 0, after: true })
  })

  // The loader fails on every report of the engine, as it would by a fault in this program. If it were restarted at each check, three
  // times a second, it would fill the log and overload the engine with connections. With growing delays it still recovers once the
  // fault is over.
  it('restarts a failing loader with growing delays, and finally succeeds', async () => {
    const cluster = testCluster()
    let failing = true
    const reports: number[] = []
    const { engines, clock } = cluster
    const report = engines.report.bind(engines)
    engines.report = async () => {
      reports.push(clock.now())
      if (failing) throw new Error('a fault of the loader')
      return await report()
    }
    const one = instance('one', { ...cluster, reachable: new Set(['one']) })
    await advance(40_000, cluster, one)
    const gaps = reports.slice(1).map((at, index) => at - (reports[index] ?? 0))
    expect({ often: reports.length > 12, first: (gaps[0] ?? 0) < 1_500, last: (gaps.at(-1) ?? 0) >= 5_000 }).toEqual({ often: false, first: true, last: true })
    failing = false
    await advance(12_000, cluster, one)
    expect(engines.seen.length).toBeGreaterThan(0)
  })
})
