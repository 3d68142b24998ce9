import { connect } from 'node:net'
import { once } from 'node:events'
import type { FencingToken, EndpointId } from '@limpetwinch/core'
import { encodeFrame } from '@limpetwinch/entry'
import { afterEach, describe, expect, it } from 'vitest'
import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster, HEARTBEAT_MILLISECONDS, JumpingClock, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

const ASK = { kind: 'load-turn-ask', turn: 'a', urgency: 1 } as const

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
  // The caller waits a little longer. What stands between two instances loses track of their open connection, which
  // says nothing any more, while new ones work. After three heartbeats it is given up without waiting for its end;
  // what was asked on it may have been done, so it ends as `peer-silent`, and the next call goes out anew.
  it('that went silent is replaced, and its calls end as unknown', async () => {
    const [one, two] = await pair()
    two.peers.onCall('load-turn-ask', async () => await new Promise(() => {}))
    const asked = one.peers.call(two.id, ASK, 50_000)
    await until(() => (two.peers.counts()['load-turn-ask']?.received ?? 0) === 1)
    for (const relay of [...cluster.relays.between('one', 'two'), ...cluster.relays.between('two', 'one')]) relay.blackholeOpenConnections()
    expect((await asked)._unsafeUnwrapErr().kind).toBe('peer-silent')
    // Whichever end notices first dials anew, which ends the old connection at the other end as well.
    expect(one.peers.counter.silentConnections + two.peers.counter.silentConnections).toBeGreaterThan(0)
    two.peers.onCall('load-turn-ask', async () => ({ kind: 'accepted' }))
    await until(() => one.peers.connected().includes(two.id) && two.peers.connected().includes(one.id))
    expect((await one.peers.call(two.id, ASK, 50_000)).isOk()).toBe(true)
  })

  // The caller's work moves on. One direction alone is lost: one still hears two, two hears nothing. Both must give
  // the connection up, or one would go on asking a peer that never gets its frames.
  it('that is cut in one direction is given up by both ends', async () => {
    const [one, two] = await pair()
    cluster.relays.cut('one', 'two')
    await until(() => stateOf(one, two) === 'suspect' && stateOf(two, one) === 'suspect')
    expect((await one.peers.call(two.id, ASK, 100))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
    cluster.relays.restore('one', 'two')
    await until(() => stateOf(one, two) === 'alive' && stateOf(two, one) === 'alive')
  })

  // The caller is told that nothing was run. An instance is replaced by another at the same address, and the list
  // still names the old one. What is meant for the old one must not reach the new one, which would take it for its own.
  it('never brings what was meant for an earlier instance to the one that replaced it', async () => {
    const [one, two] = await pair()
    await two.kill()
    const next = await cluster.start('two-again', { address: two.address })
    let reached = 0
    next.peers.onCall('pins-ask', async () => {
      reached += 1
      return { kind: 'pins-report', pins: [] }
    })
    await until(() => stateOf(one, two) === 'suspect')
    const ask = { kind: 'pins-ask', endpoint: 'e0' as EndpointId, token: 1 as FencingToken } as const
    expect((await one.peers.call(two.id, ask, 500))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
    expect(reached).toBe(0)
    await until(() => stateOf(one, next) === 'alive')
    cluster.list.remove(two.id)
    await until(() => stateOf(one, two) === 'gone')
    expect((await one.peers.call(next.id, ask, 5_000)).isOk()).toBe(true)
  })

  // The caller sees nothing. After all processes of a data centre are killed and started again, each finds the others' old
  // processes in the list. Another one answers at their addresses: dialled again and again until the list names it, both ends
  // spend the processor time that the first requests wait for.
  it('is not tried again with an instance that another one has replaced', async () => {
    const [one, two] = await pair()
    await two.kill()
    const next = await cluster.start('two-again', { address: two.address })
    const evidence: string[] = []
    one.peers.onEndEvidence((instance, kind) => { if (instance === two.id) evidence.push(kind) })
    await until(() => one.peers.isConnected(next.id))
    await sleep(10 * HEARTBEAT_MILLISECONDS)
    expect(evidence.filter((kind) => kind === 'replaced').length).toBeLessThanOrEqual(1)
  })

  // The caller sees nothing. Something sends what is no frame: noise, a length beyond all bounds, a frame with wrong
  // fields. Each such connection is closed and counted; the instance and its other connections go on.
  it('that brings a bad frame is closed and counted', async () => {
    const [one, two] = await pair()
    const hello = Buffer.from([0, 0, 0, 8, 0x84, 0, 0x61, 0x78, 0x61, 0x79, 0x61, 0x7a])
    const wrongFields = Buffer.from([0, 0, 0, 3, 0x82, 1, 0x20])
    const unknownKind = Buffer.from([0, 0, 0, 3, 0x81, 0x18, 0xc8])
    const bad = [Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.from([0xff, 0xff, 0xff, 0xff]), Buffer.concat([hello, wrongFields]), Buffer.concat([hello, unknownKind])]
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
    expect((await one.peers.call(two.id, ASK, 5_000)).isOk()).toBe(true)
  })
})

describe('what is told to several peers', () => {
  // Nobody is told twice and nobody is left out. A notice goes to two peers, encoded once, and one of them passes it on; the
  // reader takes it for a word of its maker. Bytes that are no notice are dropped and counted, and end no connection.
  it('reaches each, and passed on it counts as its maker says', async () => {
    cluster = new Cluster()
    const [one, two, three] = await cluster.startAll(['one', 'two', 'three']) as [TestInstance, TestInstance, TestInstance]
    const heard: string[] = []
    for (const each of [two, three]) each.peers.onNotice('load-refused', (from, { key }) => heard.push(`${each.id} from ${from}: ${key}`))
    await until(() => one.peers.connected().length === 2)
    const notice = { kind: 'load-refused', endpoint: 'e0' as EndpointId, key: 'x', reason: '' } as const
    one.peers.notifyAll([two.id, three.id], notice)
    await until(() => heard.length === 2)
    two.peers.deliverForwarded(three.id, encodeFrame({ ...notice, key: 'y' })._unsafeUnwrap())
    const before = two.peers.counter.badFrames
    two.peers.deliverForwarded(three.id, Buffer.from([0, 0, 0, 1, 0xff]))
    two.peers.deliverForwarded(three.id, encodeFrame({ kind: 'hello', instance: one.id, dataCentre: one.peers.self.dataCentre, address: 'a' })._unsafeUnwrap())
    expect({ heard: heard.toSorted(), bad: two.peers.counter.badFrames - before }).toEqual({
      heard: [`${three.id} from ${one.id}: x`, `${two.id} from ${one.id}: x`, `${two.id} from ${three.id}: y`].toSorted(), bad: 2
    })
  })

  it('is said to have lost its reader only when the last connection has ended', async () => {
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
  // The caller sees nothing. The platform's list is wrong or cannot be read; a member that is heard stays a member.
  it('keeps a member that is heard, whatever the list says', async () => {
    const [one, two] = await pair()
    const beats = (): number => one.peers.counts().heartbeat?.received ?? 0
    const some = async (): Promise<void> => {
      const before = beats()
      await until(() => beats() > before + 10)
    }
    await some()
    cluster.list.remove(two.id)
    await some()
    expect(stateOf(one, two)).toBe('alive')
    cluster.list.outage = true
    await two.kill()
    await until(() => stateOf(one, two) === 'suspect')
    cluster.list.outage = false
    await until(() => stateOf(one, two) === 'gone')
  })

  it('takes a goodbye for the end', async () => {
    const [one, two] = await pair()
    two.membership.sendGoodbye()
    await until(() => stateOf(one, two) === 'gone')
  })

  // The caller sees nothing. A process is paused; when it wakes all others look silent to it. It must read what they
  // sent meanwhile before it judges, or it would take over everything.
  it('does not take others for silent because it slept itself', async () => {
    cluster = new Cluster()
    const clock = new JumpingClock()
    await Promise.all([cluster.start('one', { clock }), cluster.start('two')])
    const [one, two] = cluster.instances as [TestInstance, TestInstance]
    await until(() => stateOf(one, two) === 'alive' && one.peers.connected().length === 1)
    const seen: (string | undefined)[] = []
    one.membership.onChange(() => seen.push(stateOf(one, two)))
    const beats = (): number => one.peers.counts().heartbeat?.received ?? 0
    for (let pause = 0; pause < 5; pause += 1) {
      clock.jump(60_000)
      const before = beats()
      await until(() => beats() > before + 5)
    }
    expect(seen).not.toContain('suspect')
  })
})
