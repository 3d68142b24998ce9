// Guards against tunnels that change what a caller gets or what an endpoint sees: a truncated response that looks complete since the
// carrying instance closed its side in order, a request that goes on after its caller left, and connections for strangers.
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { afterEach, describe, expect, it } from 'vitest'
import { DialError, DirectDialler, EndpointDialler, TunnelledSocket } from '../src/paths/endpoint-dialler.js'
import type { EndpointSocket } from '../src/paths/endpoint-dialler.js'
import { TunnelAdmission } from '../src/paths/tunnel-admission.js'
import { openTunnel } from '../src/paths/tunnel-client.js'
import type { TunnelPeer } from '../src/paths/tunnel-client.js'
import { TunnelServer } from '../src/paths/tunnel-server.js'
import { Attempt } from '../src/relay/attempt.js'
import { EndpointConnection } from '../src/relay/endpoint-connections.js'
import type { Endpoint } from '../src/routes/configuration.js'
import { framed, RawEndpoint, requestIdOf, silence } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { endpoint } from './support/samples.js'
import { TestCodec } from './support/test-codec.js'

const ASKING = 'asking' as InstanceId
const HOST = '127.0.0.1'
/** Larger than what the operating system takes for a connection that is not read. */
const UPLOAD_BYTES = 16_777_216
const PEER = { instance: 'carrying' as InstanceId, dataCentre: 'here' } as Pick<TunnelPeer, 'instance' | 'dataCentre'>
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

interface Carrying {
  readonly server: TunnelServer
  readonly peer: TunnelPeer
  readonly raw: RawEndpoint
  readonly target: Endpoint
}

async function carrying (answer: RawAnswer, { leaving = false, isLost = false, isBackingOff = false } = {}): Promise<Carrying> {
  const raw = await RawEndpoint.start(answer)
  const target = endpoint('p', { address: raw.address, leaving })
  const admission = new TunnelAdmission({
    directory: { find: (id) => id === target.id ? target : undefined },
    paths: { isLost: () => isLost, recordReached: () => {} },
    isBackingOff: () => isBackingOff,
    dialler: new DirectDialler(100),
    hostOf: (instance) => instance === ASKING ? HOST : undefined
  })
  const server = new TunnelServer({ logger: silentLogger(), admission })
  const address = `${HOST}:${await freePort()}`
  await server.listen(address)
  ending.push(raw, { stop: () => server.destroy() })
  return { server, peer: { ...PEER, address }, raw, target }
}

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return port
}

async function ask ({ peer }: Carrying, { self = ASKING, id = 'p' } = {}): ReturnType<typeof openTunnel> {
  return await openTunnel(peer, { endpoint: id as EndpointId, self, ownHost: HOST, milliseconds: 500, signal: new AbortController().signal })
}

/** Opens all connections through the tunnel. */
class TunnelDialler extends EndpointDialler {
  constructor (private readonly through: Carrying) {
    super()
  }

  override async dial (): Promise<Result<EndpointSocket, DialError>> {
    const opened = await ask(this.through)
    return opened.isOk() ? ok(new TunnelledSocket(opened.value, PEER.instance)) : err(new DialError('silent', opened.error))
  }
}

/** Sends one request through the tunnel. @param onData - called with the body so far @param upload - body of the request @returns how the attempt ended, and the body */
async function attempt (through: Carrying, onData = (_body: string, _attempt: Attempt): void => {}, upload?: Buffer): Promise<{ readonly kind: string, readonly body: string }> {
  const connection = new EndpointConnection(through.target, new TunnelDialler(through))
  ending.push({ stop: () => connection.destroy() })
  let body = ''
  const sent = new Attempt(connection, new TestCodec())
  const end = await sent.run(
    { requestId: 'one', method: upload === undefined ? 'GET' : 'POST', target: '/', headers: ['x-request-id', 'one'], body: upload },
    {
      head: () => {},
      data: (chunk) => {
        body += String(chunk)
        onData(body, sent)
        return 'part'
      }
    }
  )
  return { kind: end.kind, body }
}

function untilClosed (request: string, body = 'all'): string {
  return `HTTP/1.1 200 X\r\nX-Request-Id: ${requestIdOf(request)}\r\nX-Server-Signature: s\r\nConnection: close\r\n\r\n${body}`
}

/** A response without a length of which only a part is sent. */
const half: RawAnswer = (socket, request) => { socket.write(untilClosed(request, 'half')) }

/** Puts a relay before the carrying instance, which closes both sides in order as the operating system does when a process is killed. */
async function killable (through: Carrying): Promise<{ readonly through: Carrying, readonly kill: () => void }> {
  const sockets: Socket[] = []
  const relay = createServer((asking) => {
    const { port } = new URL(`http://${through.peer.address}`)
    const carrying = connect({ host: HOST, port: Number(port) })
    for (const socket of [asking, carrying]) socket.on('error', () => {})
    asking.pipe(carrying).pipe(asking)
    sockets.push(asking, carrying)
  })
  await new Promise<void>((resolve) => relay.listen(0, HOST, resolve))
  const kill = (): void => { for (const socket of sockets) socket.destroy() }
  ending.push({ stop: () => { kill(); relay.close() } })
  const { port } = relay.address() as AddressInfo
  return { through: { ...through, peer: { ...through.peer, address: `${HOST}:${port}` } }, kill }
}

describe('a request through a tunnel', () => {
  it('gets the response of the endpoint', async () => {
    expect(await attempt(await carrying(framed(200, 'hello')))).toEqual({ kind: 'whole', body: 'hello' })
  })

  it('gets a response without a length in whole when the endpoint closes its connection in order', async () => {
    expect(await attempt(await carrying((socket, request) => { socket.end(untilClosed(request)) }))).toEqual({ kind: 'whole', body: 'all' })
  })

  it('sees that a response without a length was reset, right after its last bytes too', async () => {
    const resets: RawAnswer = (socket, request) => { socket.write(untilClosed(request), () => socket.resetAndDestroy()) }
    expect((await attempt(await carrying(resets))).kind).toBe('broken')
  })

  // Guards against a part of a response that is taken for the complete one: the endpoint responds before it has read the request, and resets.
  it('sees that a response without a length was reset while the request is still being written', async () => {
    const resets: RawAnswer = (socket, request) => {
      if (socket.isPaused()) return
      socket.pause()
      socket.write(untilClosed(request, 'half'), () => socket.resetAndDestroy())
    }
    expect((await attempt(await carrying(resets), undefined, Buffer.alloc(UPLOAD_BYTES))).kind).toBe('broken')
  })

  // Guards against a truncated response without a length that looks complete: the system closes the connections of a killed process in order.
  it('sees that the carrying instance was killed before the end of a response without a length', async () => {
    const { through, kill } = await killable(await carrying(half))
    expect(await attempt(through, kill)).toEqual({ kind: 'broken', body: 'half' })
  })

  // Guards against the same at the end of a planned stop, when the carrying instance closes the tunnels that are still open.
  it('sees that the carrying instance stopped before the end of a response without a length', async () => {
    const through = await carrying(half)
    expect(await attempt(through, () => through.server.destroy())).toEqual({ kind: 'broken', body: 'half' })
  })

  // Guards against a complete response that is lost since its last bytes wait for a slow caller while the tunnel closes.
  it('gets a response without a length in whole when it is read slowly', async () => {
    const body = 'x'.repeat(300_000)
    const through = await carrying((socket, request) => { socket.end(untilClosed(request, body)) })
    const received = await attempt(through, (_body, sent) => {
      sent.pause()
      setTimeout(() => sent.resume(), 5)
    })
    expect({ kind: received.kind, length: received.body.length }).toEqual({ kind: 'whole', length: body.length })
  })

  it('is cancelled at the endpoint when the asking instance closes the tunnel', async () => {
    const through = await carrying(silence)
    const opened = (await ask(through))._unsafeUnwrap()
    opened.write('GET / HTTP/1.1\r\n\r\n')
    await expect.poll(() => through.raw.requests.length).toBe(1)
    opened.destroy()
    await expect.poll(() => through.raw.connections).toBe(0)
    expect(through.server.count).toBe(0)
  })
})

describe('a tunnel is refused', () => {
  it('to an instance that is not registered, and to an unknown endpoint', async () => {
    const through = await carrying(silence)
    const refusals = [await ask(through, { self: 'stranger' as InstanceId }), await ask(through, { id: 'other' })]
    expect(refusals.map((refusal) => refusal._unsafeUnwrapErr())).toEqual(['unavailable', 'unavailable'])
    expect(through.raw.connections).toBe(0)
  })

  it('to an endpoint that is leaving', async () => {
    expect((await ask(await carrying(silence, { leaving: true })))._unsafeUnwrapErr()).toBe('unavailable')
  })

  it('to an endpoint that has asked the instance to back off', async () => {
    const through = await carrying(silence, { isBackingOff: true })
    expect((await ask(through))._unsafeUnwrapErr()).toBe('unavailable')
    expect(through.raw.connections).toBe(0)
  })

  it('at once by an instance that is cut off itself', async () => {
    expect((await ask(await carrying(silence, { isLost: true })))._unsafeUnwrapErr()).toBe('no-path')
  })

  it('by an instance that is stopping, while open ones go on', async () => {
    const through = await carrying(framed(200, 'served'))
    const opened = (await ask(through))._unsafeUnwrap()
    through.server.startStopping()
    expect((await ask(through))._unsafeUnwrapErr()).toBe('unavailable')
    const answered = new Promise<string>((resolve) => opened.once('data', (chunk) => resolve(String(chunk))))
    opened.write('GET / HTTP/1.1\r\n\r\n')
    expect(await answered).toContain('served')
  })

  it('when nothing listens at the endpoint', async () => {
    const through = await carrying(silence)
    through.raw.stop()
    expect((await ask(through))._unsafeUnwrapErr()).toBe('refused')
  })
})
