// Guards against an endpoint that answers with bytes without an end: each instance learns it for itself, so that the endpoint gets requests of all of them.
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { InstanceId, UnboundedResponseFrame } from '@limpetwinch/core'
import type { PeerLinks } from '@limpetwinch/entry'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import { UnboundedResponses } from '../src/unbounded-responses/unbounded-responses.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint } from './support/samples.js'

const ENDPOINT = endpoint('a', { born: 100, statement: 1 })
const NAMES = ['north-0', 'north-1', 'south-0']

interface Member {
  readonly name: string
  readonly room: UnboundedResponses
  readonly directory: EndpointDirectory
  readonly receive: (frame: UnboundedResponseFrame) => void
  readonly replayed: () => UnboundedResponseFrame[]
  /** Kinds and sources of what was counted. */
  readonly counted: string[]
}

/** Instances whose notices reach all others at once. */
class Fleet {
  readonly clock = new ManualClock()
  readonly members: Member[] = []
  sent = 0

  constructor () {
    for (const name of NAMES) this.join(name)
  }

  get first (): Member {
    return this.members[0] as Member
  }

  join (name: string): Member {
    const directory = new EndpointDirectory(silentLogger())
    directory.apply({ revision: 1, endpoints: [ENDPOINT] }, undefined, 0)
    const counted: string[] = []
    const room = new UnboundedResponses({
      self: name as InstanceId,
      name,
      clock: this.clock,
      logger: silentLogger(),
      directory,
      metrics: { unboundedResponse: (kind, source) => { counted.push(`${kind} ${source}`) } },
      liveInstances: () => this.members.map((each) => each.name),
      broadcast: (frame) => {
        this.sent += 1
        for (const other of this.members) if (other.name !== name) other.receive(frame)
      }
    })
    let receive: Member['receive'] = () => {}
    let replayed: UnboundedResponseFrame[] = []
    let greet = (): void => {}
    room.connect(
      { onNotice: (_kind: string, handler: (from: InstanceId, frame: UnboundedResponseFrame) => void) => { receive = (frame) => { handler(name as InstanceId, frame) } } } as unknown as PeerLinks,
      { onNeighbour: (listener) => { greet = () => { listener('new' as InstanceId, 'leaf') } }, replay: (_to, frames) => { replayed = [...frames].map(([, frame]) => frame as UnboundedResponseFrame) } }
    )
    const member: Member = { name, room, directory, receive: (frame) => { receive(frame) }, replayed: () => { greet(); return replayed }, counted }
    this.members.push(member)
    return member
  }

  /** @returns for each instance whether it may send a request to the endpoint */
  uses (): boolean[] {
    return this.members.map(({ room }) => !room.isHeld(ENDPOINT.id, this.clock.now()))
  }

  fail (times: number): void {
    for (let failure = 0; failure < times; failure += 1) this.members[failure % this.members.length]?.room.recordFailure(ENDPOINT, 'event', 'request')
  }
}

describe('an endpoint that sends responses without an end', () => {
  it('is out of use at all instances after three of them at different instances', () => {
    const fleet = new Fleet()
    fleet.fail(2)
    expect(fleet.uses()).toEqual([true, true, true])
    fleet.fail(1)
    expect(fleet.uses()).toEqual([false, false, false])
    expect([fleet.sent, fleet.first.counted]).toEqual([3, ['event request', 'event request']])
  })

  it('has other running responses ended that consist of such bytes so far', () => {
    const fleet = new Fleet()
    let ended = 0
    fleet.members[2]?.room.begin(ENDPOINT, () => { ended += 1 })
    fleet.fail(1)
    expect(ended).toBe(1)
  })

  it('is tried by one instance with one request at a time, and is in use everywhere after three answers', async () => {
    const fleet = new Fleet()
    fleet.fail(3)
    await fleet.clock.advance(2_000)
    expect(fleet.uses().filter(Boolean).length).toBe(1)
    const trying = fleet.members[fleet.uses().indexOf(true)]?.room as UnboundedResponses
    for (let answers = 0; answers < 3; answers += 1) {
      const attempt = trying.begin(ENDPOINT, () => {})
      expect(fleet.uses()).toEqual([false, false, false])
      attempt.ended(true, undefined)
    }
    expect([fleet.uses(), fleet.first.room.ejectedCount]).toEqual([[true, true, true], 0])
    expect(fleet.members.map(({ room }) => room.penalty(ENDPOINT.id, fleet.clock.now()))).toEqual([1, 1, 1])
  })

  it('is out of use again after one such response to a trial', async () => {
    const fleet = new Fleet()
    fleet.fail(3)
    await fleet.clock.advance(2_000)
    fleet.members[fleet.uses().indexOf(true)]?.room.begin(ENDPOINT, () => {}).ended(false, 'body')
    await fleet.clock.advance(3_999)
    expect(fleet.uses()).toEqual([false, false, false])
  })

  it('is out of use at an instance that joins later', () => {
    const fleet = new Fleet()
    fleet.fail(3)
    const joined = fleet.join('south-1')
    for (const frame of fleet.first.replayed()) joined.receive(frame)
    expect(fleet.uses()).toEqual([false, false, false, false])
  })

  it('is in use when it has started again, whatever is said of its earlier process', () => {
    const fleet = new Fleet()
    fleet.fail(3)
    for (const { room, directory } of fleet.members) {
      directory.apply({ revision: 2, endpoints: [endpoint('a', { born: 200, statement: 1 })] }, undefined, 0)
      room.forget(ENDPOINT.id)
    }
    fleet.first.receive({ kind: 'unbounded-response', endpoint: 'a', born: 100, state: 'out', ejections: 1, milliseconds: 1_000 })
    expect(fleet.uses()).toEqual([true, true, true])
  })
})
