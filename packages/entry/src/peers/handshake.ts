/** Dialling, and the hellos with which a connection starts. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { LimpetwinchError } from '@limpetwinch/core'
import type { HelloFrame } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { encodeFrame } from './frame-codec.js'
import type { DecodedFrame } from './frame-codec.js'
import type { FrameCounter } from './frame-counter.js'
import { framesOf } from './peer-connection.js'
import type { PeerIdentity } from './peer-links.js'

/** A socket on which both have said who they are. */
export interface HandshakeResult {
  readonly hello: HelloFrame
  /** What comes after the hello. */
  readonly frames: AsyncGenerator<DecodedFrame, void>
}

/**
 * Opens a TCP connection.
 *
 * @param address - `host:port`
 * @param timeoutMilliseconds - how long at most
 * @returns the socket, or the system's error
 */
export async function dial (address: string, timeoutMilliseconds: number, signal: AbortSignal): Promise<Result<Socket, NodeJS.ErrnoException>> {
  const { host, port } = splitAddress(address)
  return await new Promise((resolve) => {
    const socket = connect({ host, port, noDelay: true })
    const stop = (): void => { socket.destroy(new Error('given up')) }
    const timer = setTimeout(stop, timeoutMilliseconds)
    signal.addEventListener('abort', stop)
    const settle = (result: Result<Socket, NodeJS.ErrnoException>): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', stop)
      resolve(result)
    }
    socket.once('connect', () => settle(ok(socket)))
    socket.on('error', (cause) => settle(err(cause)))
    if (signal.aborted) stop()
  })
}

/**
 * Exchanges hellos. Whoever dialled speaks first.
 *
 * @param socket - a fresh connection
 * @param self - who this is
 * @param dialled - whether this instance dialled
 * @param timeoutMilliseconds - how long the peer may take
 * @param counter - counts the hellos
 * @returns the peer's hello, or `bad-frame`; the socket is destroyed then
 */
export async function handshake (socket: Socket, self: PeerIdentity, dialled: boolean, timeoutMilliseconds: number, counter: FrameCounter): Promise<Result<HandshakeResult, LimpetwinchError>> {
  const frames = framesOf(socket)
  const timer = setTimeout(() => { socket.destroy() }, timeoutMilliseconds)
  try {
    if (dialled) sendHello(socket, self, counter)
    const first = await frames.next()
    if (first.done === true || first.value.frame.kind !== 'hello') throw new LimpetwinchError('bad-frame', { reason: 'no hello' })
    counter.received('hello', first.value.bytes)
    if (dialled) return ok({ hello: first.value.frame, frames })
    sendHello(socket, self, counter)
    // The dialler speaks on only after it has read this hello. Where frames are lost in one direction alone, its own
    // hellos would come in again and again, and it would look alive though nothing reaches it.
    const second = await frames.next()
    if (second.done === true) throw new LimpetwinchError('bad-frame', { reason: 'the hello was not taken up' })
    return ok({ hello: first.value.frame, frames: startingWith(second.value, frames) })
  } catch (cause) {
    socket.destroy()
    if (cause instanceof LimpetwinchError) return err(cause)
    return err(new LimpetwinchError('bad-frame', { reason: 'the connection ended before a hello' }, { cause }))
  } finally {
    clearTimeout(timer)
  }
}

async function * startingWith (first: DecodedFrame, rest: AsyncGenerator<DecodedFrame, void>): AsyncGenerator<DecodedFrame, void> {
  yield first
  yield * rest
}

function sendHello (socket: Socket, self: PeerIdentity, counter: FrameCounter): void {
  const hello = encodeFrame({ kind: 'hello', instance: self.instance, dataCentre: self.dataCentre, address: self.address })
  if (hello.isErr()) throw hello.error
  socket.write(hello.value)
  counter.sent('hello', hello.value.length)
}

/** @returns host and port of `host:port` or `[host]:port` */
export function splitAddress (address: string): { host: string, port: number } {
  const at = address.lastIndexOf(':')
  return { host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }
}
