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

  /** Starts six instances, each with a way to the store that counts its own calls. */
  async function startSix (store: MemoryObjectStore): Promise<{ instances: SettingsInstance[], ways: InterceptedStore[] }> {
    const ways = NAMES.map(() => new InterceptedStore(store))
    const instances = await Promise.all(NAMES.map(async (name, index) => await deployment.start(name, ways[index]!)))
    return { instances, ways }
  }

  it('keeps one watcher and a spare for a data centre', async () => {
    // The platform counts a waiting watch as a call, and its rates do not grow with the fleet. With a watch from each
    // instance the deployment would be refused at size; two are enough, as the rest hear from them.
    const { instances, ways } = await startSix(new MemoryObjectStore())
    await until(() => ways.filter((way) => way.calls.watches >= 4).length >= 2)
    expect(ways.filter((way) => way.calls.watches > 0)).toHaveLength(2)
    await put(instances[0]!.writer, teamText('v1'), 0)
    await until(() => instances.every((each) => versionAt(each) === 'v1'))
  })

  it('goes on with the next in rank when both watchers are gone', async () => {
    // Both watchers are replaced in the same second. Until the others watch, a change accepted in another data centre
    // would not be seen here at all.
    const store = new MemoryObjectStore()
    const { instances } = await startSix(store)
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    for (const name of rank.slice(0, 2)) await instances.find((each) => each.instance === name)!.stop()
    const away = await deployment.start('away', store, { dataCentre: 'south' })
    await put(away.writer, teamText('v2'), 0)
    const left = instances.filter((each) => !rank.slice(0, 2).includes(each.instance))
    await until(() => left.every((each) => versionAt(each) === 'v2'))
  })

  it('watches by itself when it can reach neither watcher', async () => {
    // One instance is cut off from its peers but not from the store, and a change is accepted meanwhile. It must not
    // serve the former version for as long as the cut lasts.
    const { instances } = await startSix(new MemoryObjectStore())
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    const last = instances.find((each) => each.instance === rank.at(-1))!
    const others = instances.filter((each) => each !== last)
    for (const other of others) deployment.cut(last, other)
    await put(others[0]!.writer, teamText('v3'), 0)
    await until(() => versionAt(last) === 'v3')
  })

  it('lets others watch when the store answers them and not the watchers', async () => {
    // The watchers' own way to the store fails while the rest reach it. They stay alive and connected, so that by rank
    // alone nobody else would watch, and a change from elsewhere would wait for their way to come back.
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

  it('backs off in an outage and comes back without a herd', async () => {
    // The store goes out under all instances at once. Each call counts, also a refused one: the two watchers try ever
    // more rarely, every other instance once at most, and when the store is back two watches are waiting and not twelve.
    const store = new MemoryObjectStore()
    const { instances, ways } = await startSix(store)
    await put(instances[0]!.writer, teamText('v1'), 0)
    await until(() => instances.every((each) => versionAt(each) === 'v1'))
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    const watchers = ways.filter((_, index) => rank.indexOf(instances[index]!.instance) < 2)
    const others = ways.filter((way) => !watchers.includes(way))
    const before = ways.map((way) => way.calls.watches + way.calls.lists)
    store.faults.outage = true
    await until(() => watchers.every((way) => way.calls.watches >= before[ways.indexOf(way)]! + 5))
    for (const way of others) expect(way.calls.watches + way.calls.lists).toBeLessThanOrEqual(before[ways.indexOf(way)]! + 1)
    expect(instances.every((each) => versionAt(each) === 'v1')).toBe(true)
    const atReturn = ways.map((way) => way.calls.lists)
    store.faults.outage = false
    // Others stand in until the watchers have an answer, and end the call that they have open then.
    const followers = instances.filter((each) => rank.indexOf(each.instance) < 2).map((each) => each.follower)
    await until(() => followers.every((each) => each.storeReachable()) && others.every((way) => way.calls.waiting === 0))
    const watchedByOthers = others.map((way) => way.calls.watches)
    await new Promise((resolve) => { setTimeout(resolve, 4 * WATCH_MILLISECONDS) })
    expect(others.map((way) => way.calls.watches)).toEqual(watchedByOthers)
    expect(ways.map((way) => way.calls.lists)).toEqual(atReturn)
  })

  it('has two others watch until the watchers try again after an outage', async () => {
    // The store is back while both watchers still wait out their pauses, which have grown. Two others that have not failed
    // yet take their place, never more; when the watchers come back each of these two ends the call that it has open.
    const store = new MemoryObjectStore()
    const { instances, ways } = await startSix(store)
    const rank = rendezvousRank(WATCHER_RANKING_KEY, instances.map((each) => each.instance))
    const isWatcher = (index: number): boolean => rank.indexOf(instances[index]!.instance) < 2
    const watchers = ways.filter((_, index) => isWatcher(index))
    const others = ways.filter((_, index) => !isWatcher(index))
    const failures = watchers.map((way) => way.calls.watches)
    store.faults.outage = true
    await until(() => watchers.every((way, index) => way.calls.watches >= failures[index]! + 5))
    store.faults.outage = false
    let mostWaiting = 0
    await until(() => {
      mostWaiting = Math.max(mostWaiting, others.filter((way) => way.calls.waiting > 0).length)
      return watchers.every((way) => way.calls.waiting === 1) && others.every((way) => way.calls.waiting === 0)
    })
    expect(mostWaiting).toBeLessThanOrEqual(2)
  })

  it('does not call without end when watches are answered at once', async () => {
    // A proxy between instance and platform answers every watch at once with nothing. Without a space between calls the
    // instance would use up the platform's rate by itself, and a core with it.
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
    const parts = { store, clock, logger: silentLogger(), random: () => 0.5, watchMilliseconds: 0, isWatcher: () => true, isSubstituteWatcher: () => false, applyDocuments: () => undefined }
    await new SettingsWatch(parts).run(ending.signal)
    expect(store.calls.watches + store.calls.lists).toBe(slept.length)
    expect(slept.every((milliseconds) => milliseconds > 0)).toBe(true)
  })

  it('keeps what is in force when a document cannot be read here', async () => {
    // During a rolling replacement a newer release accepts a key that this one does not know. Dropping the team would
    // refuse all its requests; its former settings are nearer to what was meant.
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

  it('waits longer after each failure, and not the same on each instance', () => {
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
