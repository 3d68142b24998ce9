// One instance orders an engine's loads; it is lost, cut off or paused, and another takes over. Were both to order within one
// lease, the engine could load for one what it evicts for the other, and callers would find their adapter gone. The successor
// claims in the store, waits a lease, and only then begins; whoever learns that it holds no more stops at once.
import { describe, expect, it } from 'vitest'
import { LimpetwinchError, silentLogger } from '@limpetwinch/core'
import type { DataCentreId, DeletingObjectStore, InstanceId } from '@limpetwinch/core'
import { StallEvictionPolicy } from '@limpetwinch/decisions'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { err, ok, okAsync } from 'neverthrow'
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
  remove (): ResultAsync<void, LimpetwinchError> {
    return okAsync(undefined)
  }
}

interface OrderSeen {
  readonly by: string
  readonly token: number
  readonly at: number
}

/** Engines whose tokens are checked, and who ordered them when. */
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

interface World {
  readonly clock: ManualClock
  readonly store: StoreUnderTest
  readonly engines: EnginesUnderTest
  /** Names of the instances that others hear. */
  readonly heard: Set<string>
  /** Names of the instances that do not reach the engine. */
  readonly apart: Set<string>
  /** Data centres of instances that are not in the engine's own. */
  readonly places: Map<string, string>
}

interface Instance {
  readonly duty: LoadOwnership
  readonly health: StoreHealth
  /** Reads the store, as a follower would. */
  readonly look: () => Promise<void>
  readonly want: () => void
}

function world (checksTokens = true): World {
  const clock = new ManualClock()
  return { clock, store: new StoreUnderTest(), engines: new EnginesUnderTest(clock, checksTokens), heard: new Set(['one', 'two']), apart: new Set(), places: new Map() }
}

function instance (name: string, { clock, store, engines, heard, apart, places }: World, fencedEndpoints = true): Instance {
  const logger = silentLogger()
  const health = new StoreHealth(logger)
  const configuration = new AcceptedConfiguration(logger)
  configuration.apply({ version: 1, routes: [route()], services: [service('engines', engineShape())], limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 } }, 'store')
  const directory = new EndpointDirectory(logger)
  directory.apply({ revision: 1, endpoints: [endpoint('e', { service: 'engines' })] }, undefined, clock.now())
  const placeOf = (each: string): DataCentreId => (places.get(each) ?? HERE) as DataCentreId
  const live = (): { name: string, dataCentre: DataCentreId }[] => [...heard].map((each) => ({ name: each, dataCentre: placeOf(each) }))
  const members = {
    self: { name, instance: name as InstanceId, address: '', dataCentre: placeOf(name) }, hasListing: true, live, isLive: (each: string) => heard.has(each), isReachable: (each: string) => heard.has(each), find: (each: string) => ({ dataCentre: placeOf(each) })
  } as unknown as MemberList
  const duty = new LoadOwnership({ store: store as unknown as DeletingObjectStore, health, clock, logger, members, directory, configuration, leaseMilliseconds: LEASE, fencedEndpoints }, {
    control: seenBy(name, engines, apart),
    clock,
    logger,
    locations: new AdapterLocations(),
    workTracker: new EndpointWorkTracker(),
    policy: new StallEvictionPolicy(),
    modelLoadLimiter: new ModelLoadRateLimiter(clock, () => 1),
    storeLimiter: new WeightStoreLimiter(() => 13),
    latestVersion: () => 0,
    isModelNeeded: () => true,
    publish: () => {},
    noticeRoundTripMilliseconds: () => 30,
    onUnreachable: () => {}
  })
  const look = async (): Promise<void> => {
    const listing = await store.list(`${CLUSTER_KIND}/`)
    if (listing.isErr()) return
    health.answered(clock.now())
    const holders = listing.value.objects.flatMap((object) => {
      const decoded = decodeClusterObject(object)
      return decoded?.kind === 'holder' ? [decoded.holder] : []
    })
    duty.apply(holders, listing.value.cursor)
  }
  void duty.run(new AbortController().signal)
  let wanted = 0
  const want = (): void => duty.loader(endpoint('e').id)?.requestLoad(key(`${name}${wanted++}`), 0, { request: name, onTimeMilliseconds: undefined })
  return { duty, health, look, want }
}

/** The engines as one instance reaches them, or does not. */
function seenBy (name: string, engines: EnginesUnderTest, apart: ReadonlySet<string>): EngineControl {
  const silent = err(new LimpetwinchError('endpoint-refused', { endpoint: 'e', reason: 'no connection' }))
  return {
    order: async (target: OrderTarget, order: EngineOrder) => apart.has(name) ? silent : await engines.order(target, order),
    report: async () => apart.has(name) ? silent : await engines.report()
  } as unknown as EngineControl
}

async function pass (milliseconds: number, { clock }: World, ...instances: readonly Instance[]): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 100) {
    await clock.advance(100)
    for (const each of instances) {
      await each.look()
      each.want()
    }
  }
}

describe('the duty to order an engine\'s loads', () => {
  it('falls to exactly one of two instances, which begins at once', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    expect(new Set(around.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  it('passes to the other after a loss, and never within a lease of the last order', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    const first = around.engines.seen.at(-1)?.by ?? ''
    around.heard.delete(first)
    await pass(8_000, around, first === 'one' ? two : one)
    const last = around.engines.seen.findLast(({ by }) => by === first)
    const next = around.engines.seen.find(({ by }) => by !== first)
    expect({ taken: next !== undefined, apart: (next?.at ?? 0) - (last?.at ?? 0) > LEASE, newer: (next?.token ?? 0) > (last?.token ?? 0) }).toEqual({ taken: true, apart: true, newer: true })
  })

  it('ends for the one before as soon as it reads of its successor, and stays apart by a lease', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    const first = around.engines.seen.at(-1)?.by ?? ''
    around.heard.delete(first)
    // The one before is only unheard by the other: it goes on until the store's watch tells it.
    await pass(8_000, around, one, two)
    const turns = around.engines.seen.filter(({ by }, index) => index > 0 && by !== around.engines.seen[index - 1]?.by)
    const last = around.engines.seen.findLast(({ by }) => by === first)
    expect({ turns: turns.length, apart: (turns[0]?.at ?? 0) - (last?.at ?? 0) > LEASE }).toEqual({ turns: 1, apart: true })
  })

  it('stops by itself where engines check no tokens and the store is unheard, before anybody else may begin', async () => {
    const around = world(false)
    const [one, two] = [instance('one', around, false), instance('two', around, false)]
    await pass(4_000, around, one, two)
    const first = around.engines.seen.at(-1)?.by ?? ''
    const [cut, other] = first === 'one' ? [one, two] : [two, one]
    around.heard.delete(first)
    for (let passed = 0; passed < 8_000; passed += 100) {
      await around.clock.advance(100)
      cut.want()
      await other.look()
      other.want()
    }
    const last = around.engines.seen.findLast(({ by }) => by === first)
    const next = around.engines.seen.find(({ by }) => by !== first)
    expect({ taken: next !== undefined, apart: (next?.at ?? 0) - (last?.at ?? 0) > LEASE }).toEqual({ taken: true, apart: true })
  })

  // An instance is stopped and its host has another one soon. Were its engines claimed at once, the claimant would have to
  // wait a lease, and callers of cold adapters with it; the new instance of the same host goes on at once.
  it('stays with a host whose instance is back soon', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    const first = around.engines.seen.at(-1)?.by ?? ''
    around.heard.delete(first)
    await pass(1_800, around, first === 'one' ? two : one)
    around.heard.add(first)
    await pass(3_000, around, one, two)
    expect(new Set(around.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // A data centre is cut off with its engine and the instance that orders it. The others hear neither. Claimed by one of
  // them the engine would be ordered by nobody, and after the cut by nobody for a lease: its callers would find cold
  // adapters refused all that time.
  it('is not claimed by an instance that does not reach the engine', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    const first = around.engines.seen.at(-1)?.by ?? ''
    const other = first === 'one' ? two : one
    around.heard.delete(first)
    around.apart.add(first === 'one' ? 'two' : 'one')
    await pass(9_000, around, other)
    around.heard.add(first)
    around.apart.clear()
    await pass(2_000, around, one, two)
    expect(new Set(around.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // An instance is cut off from the store and its peers for a while. When the store answers again it still hears nobody for
  // a moment; were it to claim all engines then, each would rest for a lease.
  it('is not claimed by an instance that comes back from a cut and does not hear its peers yet', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    const first = around.engines.seen.at(-1)?.by ?? ''
    const [holder, cut] = first === 'one' ? [one, two] : [two, one]
    around.heard.delete(first)
    for (let passed = 0; passed < 6_000; passed += 100) {
      cut.health.failed('cut off', around.clock.now())
      await around.clock.advance(100)
      holder.want()
    }
    await pass(1_000, around, cut)
    around.heard.add(first)
    await pass(3_000, around, one, two)
    expect(new Set(around.engines.seen.map(({ by }) => by)).size).toBe(1)
  })

  // The only instance of a data centre was replaced; meanwhile one of another data centre ordered its engine. Left so, the
  // data centre would serve nothing cold the next time it is cut off. The new instance takes the engine back.
  it('comes back to the engine\'s own data centre when that has an instance again', async () => {
    const around = world()
    around.heard.delete('one')
    around.places.set('two', 'there')
    const two = instance('two', around)
    await pass(4_000, around, two)
    around.heard.add('one')
    const one = instance('one', around)
    await pass(25_000, around, one, two)
    const by = around.engines.seen.map((each) => each.by)
    const turn = by.indexOf('one')
    const [last, first] = [around.engines.seen[turn - 1], around.engines.seen[turn]]
    expect({ before: by[0], after: by.at(-1), turns: by.filter((each, index) => index > 0 && each !== by[index - 1]).length, apart: (first?.at ?? 0) - (last?.at ?? 0) > LEASE })
      .toEqual({ before: 'two', after: 'one', turns: 1, apart: true })
  })

  // A host claimed an engine three seconds ago, and its process was killed and started again. Only the time of day says how old
  // the claim is, and that may have been set. Endpoints that check tokens refuse the holder before anyhow, so the rest of the
  // lease is enough; before others the new process waits for all of it.
  it.each([[true, 'sooner'], [false, 'later']])('is gone on with by a new process of its host, where tokens are checked (%s) %s than after a lease', async (fenced, when) => {
    const around = world(fenced)
    around.heard.delete('two')
    await around.store.put({ path: loadOwnerPath(endpoint('e').id), ifVersion: 0, value: { holder: 'one', previous: 'two', claimedAt: Date.now() - 3_000 } })
    const startedAt = around.clock.now()
    const one = instance('one', around, fenced)
    await pass(7_000, around, one)
    const first = (around.engines.seen[0]?.at ?? Infinity) - startedAt
    expect({ ordered: first < 7_000, when: first < LEASE ? 'sooner' : 'later' }).toEqual({ ordered: true, when })
  })

  it('rests after a pause until the store has been read', async () => {
    const around = world()
    const [one, two] = [instance('one', around), instance('two', around)]
    await pass(4_000, around, one, two)
    const before = around.engines.seen.length
    for (const each of [one, two]) each.duty.pauseUntil(around.clock.now() + 1_000)
    await pass(900, around, one, two)
    const during = around.engines.seen.length
    await pass(1_000, around, one, two)
    expect({ during: during - before, after: around.engines.seen.length > during }).toEqual({ during: 0, after: true })
  })

  // Callers of the engine's adapters wait or are refused. Its reports end the loader each time, as a fault of this program
  // would. Tried again at each look, three times a second, it would fill the log and the engine's connections; tried ever
  // more rarely, it is still there when the fault is over.
  it('is taken up ever more rarely while it fails, and at last succeeds', async () => {
    const around = world()
    let failing = true
    const reports: number[] = []
    const { engines, clock } = around
    const report = engines.report.bind(engines)
    engines.report = async () => {
      reports.push(clock.now())
      if (failing) throw new Error('a fault of the loader')
      return await report()
    }
    const one = instance('one', { ...around, heard: new Set(['one']) })
    await pass(40_000, around, one)
    const gaps = reports.slice(1).map((at, index) => at - (reports[index] ?? 0))
    expect({ often: reports.length > 12, first: (gaps[0] ?? 0) < 1_500, last: (gaps.at(-1) ?? 0) >= 5_000 }).toEqual({ often: false, first: true, last: true })
    failing = false
    await pass(12_000, around, one)
    expect(engines.seen.length).toBeGreaterThan(0)
  })
})
