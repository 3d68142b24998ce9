// Guards against the load of a first start: when a large fleet starts at once, nobody has registered yet, each instance takes itself for a
// hub, and all of them would list and watch all kinds of objects of the store.
import { setImmediate as nextTurn } from 'node:timers/promises'
import { silentLogger } from '@limpetwinch/core'
import type { WatchStep } from '@limpetwinch/core'
import { Supervisor } from '@limpetwinch/entry'
import { ResultAsync } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { StateFreshness } from '../src/cluster-state/state-freshness.js'
import { StoreHealth } from '../src/cluster-state/store-health.js'
import type { IngressPlatform } from '../src/runtime/ingress-platform.js'
import { StoreReader } from '../src/runtime/store-reader.js'
import { ManualClock } from './support/manual-clock.js'
import { MemoryStore } from './support/memory-store.js'

/** Long enough that nothing is probed in this test. */
const LIMITS = { configuration: 60_000, endpoints: 60_000, announcements: 60_000, cluster: 60_000 }

/** A store that records which kinds of objects were listed, and whose watches wait until they are ended. */
class CountingStore extends MemoryStore {
  readonly listed: string[] = []

  override list (prefix = ''): ReturnType<MemoryStore['list']> {
    this.listed.push(prefix)
    return super.list()
  }

  override watch (_prefix = '', _cursor = 0, _wait = 0, signal?: AbortSignal): ResultAsync<WatchStep, never> {
    const step = new Promise<WatchStep>((resolve) => { signal?.addEventListener('abort', () => resolve({ cursor: 0, changes: [] })) })
    return ResultAsync.fromSafePromise(step)
  }
}

/** @returns the kinds that one instance lists in the first two seconds, and afterwards */
async function listedKinds (isFirstStart: boolean): Promise<{ first: string[], then: string[] }> {
  const clock = new ManualClock()
  const store = new CountingStore()
  const forms = {
    configurationKind: 'config', endpointKind: 'servers', announcementKind: 'versions', decodeConfiguration: () => undefined, configurationProblems: () => [], decodeEndpoint: () => undefined, decodeAnnouncement: () => undefined
  }
  const reader = new StoreReader({
    platform: { store, forms } as unknown as IngressPlatform,
    health: new StoreHealth(silentLogger()),
    clock,
    logger: silentLogger(),
    onConfiguration: () => {},
    onConfigurationCurrent: () => {},
    onEndpoints: () => {},
    onAnnouncements: () => {},
    onCluster: () => {},
    freshness: new StateFreshness(LIMITS, clock, silentLogger()),
    isFirstStart,
    memberCount: () => 1
  }, { isNeeded: () => true, areMembersKnown: () => true, onProbed: () => {} }, clock, silentLogger())
  const supervisor = new Supervisor(silentLogger(), clock)
  reader.start(supervisor)
  await clock.advance(2_000)
  const first = [...store.listed]
  await clock.advance(2_000)
  await nextTurn()
  void supervisor.stop()
  return { first, then: store.listed.slice(first.length) }
}

describe('the store', () => {
  it('is read for the members alone while all instances register for the first time', async () => {
    expect(await listedKinds(true)).toEqual({ first: ['limpetwinch-cluster/'], then: ['config/', 'servers/', 'versions/'] })
  })

  it('is read for everything at once when an instance starts in a deployment that runs', async () => {
    expect(await listedKinds(false)).toEqual({ first: ['limpetwinch-cluster/', 'config/', 'servers/', 'versions/'], then: [] })
  })
})
