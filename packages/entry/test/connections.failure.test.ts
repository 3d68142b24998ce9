import { connect } from 'node:net'
import { once } from 'node:events'
import type { FencingToken, EndpointId } from '@limpetwinch/core'
import { encodeFrame } from '@limpetwinch/entry'
import { afterEach, describe, expect, it } from 'vitest'
import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster, HEARTBEAT_MILLISECONDS, JumpingClock, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

const CALL = { kind: 'load-turn-ask', turn: 'a', urgency: 1 } as const

let cluster: Cluster

afterEach(async () => { await cluster.end() })

async function pair (): Promise<[TestInstance, TestInstance]> {
  cluster = new Cluster()
  return await cluster.startAll(['one', 'two']) as [TestInstance, TestInstance]
}

function stateOf (seenBy: TestInstance, other: TestInstance): string | undefined {
  return seenBy.membership.member(other.id)?.state
}

describe('a connection between peers', () => {
  // Guards against calls that wait on a dead connection. A device between two instances loses the state of their open
  // connection: its bytes are dropped without an error, while new connections work. After three heartbeat intervals the
  // connection must be replaced. Its calls end as `peer-silent`, since they may have been handled; the next call succeeds.
  it('that becomes unresponsive is replaced, and its calls end as unknown', async () => {
    const [one, two] = await pair()
    two.peers.onCall('load-turn-ask', async () => await new Promise(() => {}))
    const outstanding = one.peers.call(two.id, CALL, 50_000)
    await until(() => (two.peers.counts()['load-turn-ask']?.received ?? 0) === 1)
    for (const relay of [...cluster.relays.between('one', 'two'), ...cluster.relays.between('two', 'one')]) relay.blackholeOpenConnections()
    expect((await outstanding)._unsafeUnwrapErr().kind).toBe('peer-silent')
    // The first end that notices dials again, which ends the old connection at the other end as well.
    expect(one.peers.counter.silentConnections + two.peers.counter.silentConnections).toBeGreaterThan(0)
    two.peers.onCall('load-turn-ask', async () => ({ kind: 'accepted' }))
    await until(() => one.peers.connected().includes(two.id) && two.peers.connected().includes(one.id))
    expect((await one.peers.call(two.id, CALL, 50_000)).isOk()).toBe(true)
  })

  // Guards against an instance that keeps calling a peer which receives none of its frames. Only the direction from one
  // to two is lost, so that one still receives heartbeats from two. Both ends must abandon the connection.
  it('that is cut in one direction is abandoned by both ends', async () => {
    const [one, two] = await pair()
    cluster.relays.cut('one', 'two')
    await until(() => stateOf(one, two) === 'suspect' && stateOf(two, one) === 'suspect')
    expect((await one.peers.call(two.id, CALL, 100))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
    cluster.relays.restore('one', 'two')
    await until(() => stateOf(one, two) === 'alive' && stateOf(two, one) === 'alive')
  })

  // Guards against a call that reaches the wrong instance. An instance is replaced by another one at the same address while
  // the list still names the old one. Calls to the old instance must fail as not sent, or the new one would take them for its own.
  it('never delivers calls for an earlier instance to the instance that replaced it', async () => {
    const [one, two] = await pair()
    await two.kill()
    const next = await cluster.start('two-again', { address: two.address })
    let delivered = 0
    next.peers.onCall('pins-ask', async () => {
      delivered += 1
      return { kind: 'pins-report', pins: [] }
    })
    await until(() => stateOf(one, two) === 'suspect')
    const ask = { kind: 'pins-ask', endpoint: 'e0' as EndpointId, token: 1 as FencingToken } as const
    expect((await one.peers.call(two.id, ask, 500))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
    expect(delivered).toBe(0)
    await until(() => stateOf(one, next) === 'alive')
    cluster.list.remove(two.id)
    await until(() => stateOf(one, two) === 'gone')
    expect((await one.peers.call(next.id, ask, 5_000)).isOk()).toBe(true)
  })

  // Guards against slow first requests after all processes of a data centre were killed and started again. The list still
  // names the old processes, and new ones answer at their addresses. Dialling these addresses again and again until the list
  // is up to date would take processor time from the first requests at both ends.
  it('is not attempted again with an instance that another one has replaced', async () => {
    const [one, two] = await pair()
    await two.kill()
    const next = await cluster.start('two-again', { address: two.address })
    const evidence: string[] = []
    one.peers.onEndEvidence((instance, kind) => { if (instance === two.id) evidence.push(kind) })
    await until(() => one.peers.isConnected(next.id))
    await sleep(10 * HEARTBEAT_MILLISECONDS)
    expect(evidence.filter((kind) => kind === 'replaced').length).toBeLessThanOrEqual(1)
  })

  // Guards against an instance that fails because of invalid input: bytes that are no frame, an excessive length, a frame
  // with wrong fields, an unknown kind. Each such connection must be closed and counted; other connections stay open.
  it('that receives an invalid frame is closed and counted', async () => {
    const [one, two] = await pair()
    const hello = Buffer.from([0, 0, 0, 8, 0x84, 0, 0x61, 0x78, 0x61, 0x79, 0x61, 0x7a])
    const wrongFields = Buffer.from([0, 0, 0, 3, 0x82, 1, 0x20])
    const unknownKind = Buffer.from([0, 0, 0, 3, 0x81, 0x18, 0xc8])
    const bad = [
      Buffer.from('GET / HTTP/1.1\r\n\r\n'),
      Buffer.from([0xff, 0xff, 0xff, 0xff]),
      Buffer.concat([hello, wrongFields]),
      Buffer.concat([hello, unknownKind])
    ]
    for (const bytes of bad) {
      const before = one.peers.counter.badFrames
      const socket = connect(Number(one.address.split(':')[1]), '127.0.0.1')
      socket.on('error', () => {})
      socket.resume()
      socket.write(bytes)
      await once(socket, 'close')
      await until(() => one.peers.counter.badFrames === before + 1)
    }
    two.peers.onCall('load-turn-ask', async () => ({ kind: 'accepted' }))
    expect((await one.peers.call(two.id, CALL, 5_000)).isOk()).toBe(true)
  })
})

describe('a one-way message', () => {
  // Guards against messages that are lost, doubled or attributed to the wrong instance. A message goes to two peers, encoded
  // once, and each must receive it once. A forwarded message must count as sent by its origin. Forwarded bytes that are no
  // one-way message are dropped and counted, and end no connection.
  it('to several peers reaches each of them, and a forwarded one counts as sent by its origin', async () => {
    cluster = new Cluster()
    const [one, two, three] = await cluster.startAll(['one', 'two', 'three']) as [TestInstance, TestInstance, TestInstance]
    const received: string[] = []
    for (const each of [two, three]) each.peers.onNotice('load-refused', (from, { key }) => received.push(`${each.id} from ${from}: ${key}`))
    await until(() => one.peers.connected().length === 2)
    const notice = { kind: 'load-refused', endpoint: 'e0' as EndpointId, key: 'x', reason: '' } as const
    one.peers.notifyAll([two.id, three.id], notice)
    await until(() => received.length === 2)
    two.peers.deliverForwarded(three.id, encodeFrame({ ...notice, key: 'y' })._unsafeUnwrap())
    const before = two.peers.counter.badFrames
    two.peers.deliverForwarded(three.id, Buffer.from([0, 0, 0, 1, 0xff]))
    two.peers.deliverForwarded(three.id, encodeFrame({ kind: 'hello', instance: one.id, dataCentre: one.peers.self.dataCentre, address: 'a' })._unsafeUnwrap())
    expect({ received: received.toSorted(), bad: two.peers.counter.badFrames - before }).toEqual({
      received: [`${three.id} from ${one.id}: x`, `${two.id} from ${one.id}: x`, `${two.id} from ${three.id}: y`].toSorted(), bad: 2
    })
  })

  it('is reported to have no connected receiver only once the last connection has ended', async () => {
    const [one, two] = await pair()
    await until(() => one.peers.isConnected(two.id))
    const lost: string[] = []
    one.peers.onDisconnected((instance) => lost.push(instance))
    one.peers.disconnect(two.id, 'the test ends it')
    await until(() => lost.length === 1)
    expect(lost).toEqual([two.id])
  })
})

describe('membership', () => {
  // Guards against the loss of a living member because the platform's list is wrong or cannot be read: a member that sends
  // heartbeats stays a member, and during an outage of the list a killed member is suspected but not removed.
  it('keeps a member that sends heartbeats, whatever the list says', async () => {
    const [one, two] = await pair()
    const heartbeats = (): number => one.peers.counts().heartbeat?.received ?? 0
    const waitForHeartbeats = async (): Promise<void> => {
      const before = heartbeats()
      await until(() => heartbeats() > before + 10)
    }
    await waitForHeartbeats()
    cluster.list.remove(two.id)
    await waitForHeartbeats()
    expect(stateOf(one, two)).toBe('alive')
    cluster.list.outage = true
    await two.kill()
    await until(() => stateOf(one, two) === 'suspect')
    cluster.list.outage = false
    await until(() => stateOf(one, two) === 'gone')
  })

  it('removes a member that sends a goodbye', async () => {
    const [one, two] = await pair()
    two.membership.sendGoodbye()
    await until(() => stateOf(one, two) === 'gone')
  })

  // Guards against a take-over of all endpoints after a process pause. When the process resumes, all other members look
  // unresponsive. It must read the frames that arrived meanwhile before it suspects a member.
  it('does not suspect other members after a pause of its own process', async () => {
    cluster = new Cluster()
    const clock = new JumpingClock()
    await Promise.all([cluster.start('one', { clock }), cluster.start('two')])
    const [one, two] = cluster.instances as [TestInstance, TestInstance]
    await until(() => stateOf(one, two) === 'alive' && one.peers.connected().length === 1)
    const seen: (string | undefined)[] = []
    one.membership.onChange(() => seen.push(stateOf(one, two)))
    const heartbeats = (): number => one.peers.counts().heartbeat?.received ?? 0
    for (let pause = 0; pause < 5; pause += 1) {
      clock.jump(60_000)
      const before = heartbeats()
      await until(() => heartbeats() > before + 5)
    }
    expect(seen).not.toContain('suspect')
  })
})
