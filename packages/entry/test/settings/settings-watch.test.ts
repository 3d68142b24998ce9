import { afterEach, describe, expect, it } from 'vitest'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { Backoff } from '../../src/concurrency/backoff.js'
import { rendezvousRank } from '../../src/placement/rendezvous.js'
import { SettingsWatch, STORE_BACKOFF } from '../../src/settings/settings-watch.js'
import { WATCHER_RANKING_KEY } from '../../src/settings/watcher-ranking.js'
import { document, InterceptedStore, PATH, put, SettingsDeployment, teamText, until, versionAt, WATCH_MILLISECONDS } from './deployment.js'
import type { SettingsInstance } from './deployment.js'

const NAMES = ['one', 'two', 'three', 'four', 'five', 'six']

describe('settings watch', () => {
  let deployment = new SettingsDeployment()
  afterEach(async () => {
    await deployment.stop()
    deployment = new SettingsDeployment()
  })

  /** Starts six instances, each with its own access to the store that counts its calls. */
  async function startSix (store: MemoryObjectStore): Promise<{ instances: SettingsInstance[], stores: InterceptedStore[] }> {
    const stores = NAMES.map(() => new InterceptedStore(store))
    const instances = await Promise.all(NAMES.map(async (name, index) => await deployment.start(name, stores[index]!)))
    return { instances, stores }
  }

  it('keeps one watcher and a spare for a data centre', async () => {
    // Guards against a watch from each instance: the platform counts a waiting watch as a call, and its rate limits do not
    // grow with the number of instances. Two watchers are enough, as they send changes to the others.
    const { instances, stores } = await startSix(new MemoryObjectStore())
    await until(() => stores.filter((intercepted) => intercepted.calls.watches >= 4).length >= 2)
    expect(stores.filter((intercepted) => intercepted.calls.watches > 0)).toHaveLength(2)
    await put(instances[0]!.writer, teamText('v1'), 0)
    await until(() => instances.every((each) => versionAt(each) === 'v1'))
  })

  it('lets the next instances in rank watch when both watchers have left', async () => {
    // Guards against a data centre without a watcher: both watchers are replaced at the same time, and a change accepted in
    // another data centre reaches the remaining instances only if others start to watch.
    const store = new MemoryObjectStore()
    const { instances } = await startSix(store)
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    for (const name of rank.slice(0, 2)) await instances.find((each) => each.instance === name)!.stop()
    const away = await deployment.start('away', store, { dataCentre: 'south' })
    await put(away.writer, teamText('v2'), 0)
    const left = instances.filter((each) => !rank.slice(0, 2).includes(each.instance))
    await until(() => left.every((each) => versionAt(each) === 'v2'))
  })

  it('watches on its own when it can reach neither watcher', async () => {
    // Guards against an instance that serves the previous version while it is cut off from its peers: it still reaches the
    // store, where a change is accepted meanwhile.
    const { instances } = await startSix(new MemoryObjectStore())
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    const last = instances.find((each) => each.instance === rank.at(-1))!
    const others = instances.filter((each) => each !== last)
    for (const other of others) deployment.cut(last, other)
    await put(others[0]!.writer, teamText('v3'), 0)
    await until(() => versionAt(last) === 'v3')
  })

  it('lets others watch when the store answers them and not the watchers', async () => {
    // Guards against watchers that cannot reach the store while other instances can. The watchers stay alive and connected, so
    // by rank alone no other instance would watch, and changes from elsewhere would be delayed until the watchers recover.
    const store = new MemoryObjectStore()
    const broken = new MemoryObjectStore()
    const rank = rendezvousRank(WATCHER_RANKING_KEY, NAMES)
    const instances = await Promise.all(NAMES.map(async (name) => await deployment.start(name, rank.indexOf(name) < 2 ? broken : store)))
    broken.faults.outage = true
    await until(() => instances.filter((each) => !each.follower.storeReachable()).length === 2)
    const away = await deployment.start('away', store, { dataCentre: 'south' })
    await put(away.writer, teamText('v1'), 0)
    await until(() => instances.every((each) => versionAt(each) === 'v1'))
  })

  it('backs off in an outage and does not cause a burst of calls afterwards', async () => {
    // Guards against a burst of calls around an outage of the store for all instances, as refused calls count as well. The two
    // watchers retry ever more rarely, every other instance calls at most once, and afterwards only the two watchers watch.
    const store = new MemoryObjectStore()
    const { instances, stores } = await startSix(store)
    await put(instances[0]!.writer, teamText('v1'), 0)
    await until(() => instances.every((each) => versionAt(each) === 'v1'))
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    const watchers = stores.filter((_, index) => rank.indexOf(instances[index]!.instance) < 2)
    const others = stores.filter((intercepted) => !watchers.includes(intercepted))
    const before = stores.map((intercepted) => intercepted.calls.watches + intercepted.calls.lists)
    store.faults.outage = true
    await until(() => watchers.every((intercepted) => intercepted.calls.watches >= before[stores.indexOf(intercepted)]! + 5))
    for (const intercepted of others) expect(intercepted.calls.watches + intercepted.calls.lists).toBeLessThanOrEqual(before[stores.indexOf(intercepted)]! + 1)
    expect(instances.every((each) => versionAt(each) === 'v1')).toBe(true)
    const atReturn = stores.map((intercepted) => intercepted.calls.lists)
    store.faults.outage = false
    // Other instances watch as substitutes until the watchers have an answer, and then finish their open calls.
    const followers = instances.filter((each) => rank.indexOf(each.instance) < 2).map((each) => each.follower)
    await until(() => followers.every((each) => each.storeReachable()) && others.every((intercepted) => intercepted.calls.waiting === 0))
    const watchedByOthers = others.map((intercepted) => intercepted.calls.watches)
    await new Promise((resolve) => { setTimeout(resolve, 4 * WATCH_MILLISECONDS) })
    expect(others.map((intercepted) => intercepted.calls.watches)).toEqual(watchedByOthers)
    expect(stores.map((intercepted) => intercepted.calls.lists)).toEqual(atReturn)
  })

  it('lets two other instances watch until the watchers retry after an outage', async () => {
    // Guards against missing or too many watches after an outage: the store answers again while both watchers still back off.
    // At most two instances without a failed call watch as substitutes, until the watchers have reconnected.
    const store = new MemoryObjectStore()
    const { instances, stores } = await startSix(store)
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    const isWatcher = (index: number): boolean => rank.indexOf(instances[index]!.instance) < 2
    const watchers = stores.filter((_, index) => isWatcher(index))
    const others = stores.filter((_, index) => !isWatcher(index))
    const failures = watchers.map((intercepted) => intercepted.calls.watches)
    store.faults.outage = true
    await until(() => watchers.every((intercepted, index) => intercepted.calls.watches >= failures[index]! + 5))
    store.faults.outage = false
    let mostWaiting = 0
    await until(() => {
      mostWaiting = Math.max(mostWaiting, others.filter((intercepted) => intercepted.calls.waiting > 0).length)
      return watchers.every((intercepted) => intercepted.calls.waiting === 1) && others.every((intercepted) => intercepted.calls.waiting === 0)
    })
    expect(mostWaiting).toBeLessThanOrEqual(2)
  })

  it('keeps a minimum interval between calls when watches are answered immediately', async () => {
    // Guards against a busy loop: a proxy between instance and platform answers every watch immediately with no changes.
    // Without a minimum interval, one instance would use up the platform's rate limit and a processor core.
    const slept: number[] = []
    const ending = new AbortController()
    const clock = new class extends SystemClock {
      override now (): number {
        return 0
      }

      override async sleep (milliseconds: number): Promise<void> {
        slept.push(milliseconds)
        if (slept.length === 20) ending.abort()
      }
    }()
    const store = new InterceptedStore(new MemoryObjectStore())
    store.replaceWatchResult = (step) => {
      if (store.calls.watches === 100) ending.abort()
      return step
    }
    const dependencies = { store, clock, logger: silentLogger(), random: () => 0.5, watchMilliseconds: 0, isWatcher: () => true, isSubstituteWatcher: () => false, applyDocuments: () => undefined }
    await new SettingsWatch(dependencies).run(ending.signal)
    expect(store.calls.watches + store.calls.lists).toBe(slept.length)
    expect(slept.every((milliseconds) => milliseconds > 0)).toBe(true)
  })

  it('keeps the settings in force when this release cannot parse a document', async () => {
    // Guards against a team that is dropped during a rolling replacement, when a newer release accepts a key that this release
    // does not know. All requests of the team would be refused; its previous settings are closer to what was intended.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    await put(one.writer, teamText('v1'), 0)
    one.follower.accepted({ ...document(2, 'v2'), text: '{ "newKey": 1 }' })
    expect(versionAt(one)).toBe('v1')
    expect(one.follower.revisions().get(PATH)).toBe(1)
    expect(one.follower.document(PATH)?.revision).toBe(2)
    one.follower.accepted(document(3, 'v3'))
    expect(versionAt(one)).toBe('v3')
  })

  it('increases the delay after each failure, with jitter between instances', () => {
    const low = new Backoff(STORE_BACKOFF, () => 0)
    const high = new Backoff(STORE_BACKOFF, () => 0.999)
    const waits = Array.from({ length: 10 }, () => [low.next(), high.next()] as [number, number])
    for (const [index, [shortest, longest]] of waits.entries()) {
      expect(longest / shortest).toBeGreaterThan(1.9)
      expect(longest).toBeLessThanOrEqual(5_000)
      if (index > 0 && index < 6) expect(longest).toBeGreaterThan(waits[index - 1]![1])
    }
    low.reset()
    expect(low.next()).toBe(waits[0]![0])
  })
})
