// A leaf receives the member list from its hub, some hundred milliseconds late. Guards against repeated registration: if a list from
// before the registration of this instance replaced its own record, the instance would register again and again, and every other
// instance would be notified each time.
import { afterEach, describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { ConditionalWrite, DataCentreId, DeletingObjectStore, InstanceId, LimpetwinchError } from '@limpetwinch/core'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import type { ResultAsync } from 'neverthrow'
import type { Member } from '../src/members/cluster-objects.js'
import { MemberList } from '../src/members/member-list.js'
import type { MemberPresence } from '../src/members/member-list.js'
import { ManualClock } from './support/manual-clock.js'

const SELF = { name: 'host', instance: 'i-host' as InstanceId, address: 'a', dataCentre: 'dc' as DataCentreId, cores: 1 }
const SUSPECT_MILLISECONDS = 1_200

class CountingStore extends MemoryObjectStore {
  writes = 0

  override put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError> {
    this.writes += 1
    return super.put(write)
  }
}

/** All instances are present except the given ones, which were present until the given times. */
function presence (absent: ReadonlyMap<InstanceId, number>): MemberPresence {
  return { apply: () => {}, isReachable: (instance) => !absent.has(instance), isLeaving: () => false, lastReachableAt: (instance) => absent.get(instance) }
}

function other (name: string): Member {
  return { name, instance: `i-${name}` as InstanceId, address: name, dataCentre: SELF.dataCentre, cores: 1, version: 1 }
}

const ending = new AbortController()

afterEach(() => ending.abort())

describe('the list of members', () => {
  it('keeps the registration of this instance when a list is older, and registers once', async () => {
    const [clock, store] = [new ManualClock(), new CountingStore()]
    const members = new MemberList(SELF, store as unknown as DeletingObjectStore, presence(new Map()), clock, silentLogger())
    void members.run(ending.signal)
    members.apply([], 0)
    await clock.advance(500)
    members.apply([other('one')], 0)
    await clock.advance(5_000)
    expect({ writes: store.writes, knowsItself: members.find(SELF.name)?.instance, count: members.count }).toEqual({ writes: 1, knowsItself: SELF.instance, count: 2 })
  })

  // While an instance changes its hub, no other instance may take over its engines; but a member that has left must count as unreachable.
  it('counts a member as reachable while it is absent for a moment, and as unreachable when it stays absent', () => {
    const clock = new ManualClock()
    const absent = new Map([['i-moment' as InstanceId, clock.now() - SUSPECT_MILLISECONDS + 1], ['i-long' as InstanceId, clock.now() - SUSPECT_MILLISECONDS]])
    const members = new MemberList(SELF, new CountingStore() as unknown as DeletingObjectStore, presence(absent), clock, silentLogger())
    members.apply([other('moment'), other('long'), other('there')], 1)
    expect(['moment', 'long', 'there'].map((name) => members.isReachable(name))).toEqual([true, false, true])
  })
})
