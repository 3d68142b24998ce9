// Guards against callers that keep a process from everything else: one turn of the event loop reads megabytes from their connections, in chunks of a byte.
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { CallerConnections } from '../src/relay/caller-connections.js'
import { CallerExchange } from '../src/relay/caller-exchange.js'

const CALLERS = 4
const BODY_BYTES = 100_000
const CHUNK = '1\r\nx\r\n'
/** What one read takes from a connection at most. */
const READ_BYTES = 65_536
const CHUNKS_PER_READ = Math.ceil(READ_BYTES / CHUNK.length)

const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

/** Counts what is read from each connection in each turn of the event loop. */
class TurnCounter {
  /** Most chunks of one connection in one turn. */
  mostOfOne = 0
  /** Most connections in one turn, of those that were read before. */
  mostAgain = 0
  private readonly known = new Set<Socket>()
  private readonly now = new Map<Socket, number>()

  chunkRead (socket: Socket): void {
    if (this.now.size === 0) setImmediate(() => this.endTurn())
    this.now.set(socket, (this.now.get(socket) ?? 0) + 1)
  }

  private endTurn (): void {
    const again = [...this.now.keys()].filter((socket) => this.known.has(socket)).length
    this.mostOfOne = Math.max(this.mostOfOne, ...this.now.values())
    this.mostAgain = Math.max(this.mostAgain, again)
    for (const socket of this.now.keys()) this.known.add(socket)
    this.now.clear()
  }
}

async function listen (counter: TurnCounter, received: number[]): Promise<Server> {
  const clock = new SystemClock()
  const connections = new CallerConnections({ clock, logger: silentLogger(), maximumConnections: Infinity, maximumWaiting: Infinity, maximumHeldBack: Infinity })
  const server = createServer(async (incoming, outgoing) => {
    const connection = connections.of(incoming.socket)
    const exchange = new CallerExchange(incoming, outgoing, undefined, undefined, () => {
      counter.chunkRead(incoming.socket)
      connection.chunkRead()
    })
    connection.takeTurn(incoming)
    const body = await exchange.readBody(2 * BODY_BYTES)
    received.push(body._unsafeUnwrap()?.length ?? 0)
    outgoing.end()
    connection.endTurn()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  stops.push(() => server.close(), () => server.closeAllConnections())
  return server
}

describe('bodies in chunks of a byte', () => {
  it('are read in turns, one read of one connection at a time, to their end', async () => {
    const counter = new TurnCounter()
    const received: number[] = []
    const { port } = (await listen(counter, received)).address() as AddressInfo
    const callers = Array.from({ length: CALLERS }, () => connect(port, '127.0.0.1'))
    for (const caller of callers) {
      stops.push(() => caller.destroy())
      caller.write(`POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${CHUNK.repeat(BODY_BYTES)}0\r\n\r\n`)
    }
    await expect.poll(() => received, { timeout: 30_000 }).toEqual(Array.from({ length: CALLERS }, () => BODY_BYTES))
    expect({ mostOfOne: counter.mostOfOne <= CHUNKS_PER_READ, mostAgain: counter.mostAgain }).toEqual({ mostOfOne: true, mostAgain: 1 })
  }, 60_000)
})

// Guards against a caller within the limits that waits for turns.
describe('requests that follow one another', () => {
  it('are read all the time, however fast they come', async () => {
    const received: number[] = []
    const server = await listen(new TurnCounter(), received)
    let pauses = 0
    server.on('connection', (socket) => { socket.on('pause', () => { pauses += 1 }) })
    const { port } = server.address() as AddressInfo
    const caller = connect(port, '127.0.0.1')
    stops.push(() => caller.destroy())
    for (let sent = 1; sent <= 200; sent++) {
      const answered = once(caller, 'data')
      caller.write('POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok')
      await answered
    }
    expect({ received: received.length, pauses }).toEqual({ received: 200, pauses: 0 })
  })
})
