/** Opens connections to peers and exchanges the hello frames with which each connection starts. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { LimpetwinchError, splitAddress } from '@limpetwinch/core'
import type { HelloFrame } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { encodeFrame } from './frame-codec.js'
import type { DecodedFrame } from './frame-codec.js'
import type { FrameCounter } from './frame-counter.js'
import { framesOf } from './peer-connection.js'
import type { PeerIdentity } from './peer-links.js'

/** Result of a handshake, after which each side knows the identity of the other. */
export interface HandshakeResult {
  readonly hello: HelloFrame
  /** The frames that the peer sends after its hello. */
  readonly frames: AsyncGenerator<DecodedFrame, void>
}

/**
 * Opens a TCP connection.
 *
 * @param address - `host:port`
 * @param timeoutMilliseconds - time limit for opening the connection
 * @param signal - cancels the attempt
 * @returns the connected socket, or the system's error
 */
export async function dial (address: string, timeoutMilliseconds: number, signal: AbortSignal): Promise<Result<Socket, NodeJS.ErrnoException>> {
  const { host, port } = splitAddress(address)
  return await new Promise((resolve) => {
    const socket = connect({ host, port, noDelay: true })
    const stop = (): void => { socket.destroy(new Error('the attempt to connect timed out or was cancelled')) }
    let pendingStop: NodeJS.Immediate | undefined
    // After a process pause, timers fire before a connection that has opened meanwhile is seen. `setImmediate` lets it be seen first.
    const timer = setTimeout(() => { pendingStop = setImmediate(stop) }, timeoutMilliseconds)
    signal.addEventListener('abort', stop)
    const settle = (result: Result<Socket, NodeJS.ErrnoException>): void => {
      clearTimeout(timer)
      clearImmediate(pendingStop)
      signal.removeEventListener('abort', stop)
      resolve(result)
    }
    socket.once('connect', () => settle(ok(socket)))
    socket.on('error', (cause) => settle(err(cause)))
    if (signal.aborted) stop()
  })
}

/**
 * Exchanges hello frames. The side that dialled sends its hello first.
 *
 * @param socket - a new connection
 * @param self - identity of this instance
 * @param dialled - whether this instance dialled
 * @param timeoutMilliseconds - time limit for the handshake
 * @param counter - counts the hello frames
 * @returns the peer's hello and the frames after it, or `bad-frame`, in which case the socket is destroyed
 */
export async function handshake (
  socket: Socket,
  self: PeerIdentity,
  dialled: boolean,
  timeoutMilliseconds: number,
  counter: FrameCounter
): Promise<Result<HandshakeResult, LimpetwinchError>> {
  const frames = framesOf(socket)
  const timer = setTimeout(() => { socket.destroy() }, timeoutMilliseconds)
  try {
    if (dialled) sendHello(socket, self, counter)
    const first = await frames.next()
    if (first.done === true || first.value.frame.kind !== 'hello') throw new LimpetwinchError('bad-frame', { reason: 'the first frame is not a hello' })
    counter.received('hello', first.value.bytes)
    if (dialled) return ok({ hello: first.value.frame, frames })
    sendHello(socket, self, counter)
    // The dialler sends further frames only after it has read this hello. If frames are lost in this direction alone, the
    // dialler would otherwise look alive through its repeated hellos, although no frame reaches it.
    const second = await frames.next()
    if (second.done === true) throw new LimpetwinchError('bad-frame', { reason: 'the connection ended after the hellos' })
    return ok({ hello: first.value.frame, frames: startingWith(second.value, frames) })
  } catch (cause) {
    socket.destroy()
    if (cause instanceof LimpetwinchError) return err(cause)
    return err(new LimpetwinchError('bad-frame', { reason: 'the connection failed during the handshake' }, { cause }))
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
