/** One connection to one peer, from its hello to its end. */
import { setMaxListeners } from 'node:events'
import type { Socket } from 'node:net'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, HelloFrame, Logger, PeerFrame } from '@limpetwinch/core'
import { encodeFrame, FrameReader } from './frame-codec.js'
import type { DecodedFrame } from './frame-codec.js'
import type { FrameCounter } from './frame-counter.js'
import { isCall, isReply } from './frame-dispatcher.js'
import type { FrameDispatcher } from './frame-dispatcher.js'
import { HeartbeatBook } from './heartbeat-book.js'
import { OutstandingCalls } from './outstanding-calls.js'
import type { CallLimits, CallResult } from './outstanding-calls.js'
import type { HeardHeartbeat, HeartbeatBody, PeerIdentity } from './peer-links.js'
import type { CallBody, CallFrame, NoticeFrame } from './peer-network.js'
import { SendQueue } from './send-queue.js'

/** Heartbeat intervals without any frame after which a connection is silent. */
export const SILENT_AFTER_INTERVALS = 3

/** What a connection needs from the network that it belongs to. */
export interface ConnectionSurroundings {
  readonly clock: Clock
  readonly logger: Logger
  readonly counter: FrameCounter
  readonly dispatcher: FrameDispatcher
  readonly describe: () => HeartbeatBody
  readonly onHeartbeat: (peer: PeerIdentity, heartbeat: HeardHeartbeat) => void
}

/** A connection whose peer has said who it is. */
export class PeerConnection {
  readonly peer: PeerIdentity
  /** Whether this instance dialled it. */
  readonly dialled: boolean
  /** Monotonic time of the last frame. */
  lastHeard: number
  /** Monotonic time of the last call or notice sent, for connections on demand. */
  lastUsed: number
  private readonly socket: Socket
  private readonly frames: AsyncIterator<DecodedFrame>
  private readonly surroundings: ConnectionSurroundings
  private readonly queue: SendQueue
  private readonly calls: OutstandingCalls
  private readonly heartbeats: HeartbeatBook
  private readonly intervalMilliseconds: number
  private readonly ending = withManyListeners(new AbortController())

  /**
   * @param socket - the socket, hello exchanged
   * @param frames - what comes after the hello
   * @param hello - the peer's hello
   * @param dialled - whether this instance dialled
   * @param intervalMilliseconds - between heartbeats
   * @param surroundings - what the network lends
   */
  constructor (socket: Socket, frames: AsyncIterator<DecodedFrame>, hello: HelloFrame, dialled: boolean, intervalMilliseconds: number, surroundings: ConnectionSurroundings) {
    this.socket = socket
    this.frames = frames
    this.peer = { instance: hello.instance, dataCentre: hello.dataCentre, address: hello.address }
    this.dialled = dialled
    this.intervalMilliseconds = intervalMilliseconds
    this.surroundings = surroundings
    this.lastHeard = surroundings.clock.now()
    this.lastUsed = this.lastHeard
    this.queue = new SendQueue(socket, surroundings.counter)
    this.calls = new OutstandingCalls(hello.instance)
    this.heartbeats = new HeartbeatBook(surroundings.clock)
  }

  /** Whether it has ended and only waits to be taken out of the table. */
  get ended (): boolean {
    return this.ending.signal.aborted
  }

  /** Serves the connection until it ends; what waits on it is settled then. */
  async run (): Promise<void> {
    const beating = this.beat()
    try {
      await this.receive()
    } catch (cause) {
      this.note(cause)
    }
    this.end('the connection ended')
    await beating
  }

  /** Ends the connection at once, without a word to the peer. */
  end (reason: string): void {
    if (this.ending.signal.aborted) return
    this.ending.abort()
    this.socket.destroy()
    this.calls.connectionEnded(reason)
  }

  /** Sends a notice, or drops it when too much waits. */
  notify (frame: NoticeFrame): void {
    this.lastUsed = this.surroundings.clock.now()
    if (!this.send(frame)) this.surroundings.counter.droppedNotices += 1
  }

  /** Sends a notice that is encoded already, or drops it when too much waits. */
  notifyEncoded (kind: NoticeFrame['kind'], bytes: Buffer): void {
    this.lastUsed = this.surroundings.clock.now()
    if (this.ending.signal.aborted || !this.queue.add(kind, bytes)) this.surroundings.counter.droppedNotices += 1
  }

  /** Asks the peer. */
  async call (body: CallBody, limits: CallLimits): Promise<CallResult> {
    this.lastUsed = this.surroundings.clock.now()
    return await this.calls.open(limits, (call, onWritten) => this.send({ ...body, call } as CallFrame, onWritten))
  }

  private send (frame: PeerFrame, onWritten?: () => void): boolean {
    if (this.ending.signal.aborted) return false
    const encoded = encodeFrame(frame)
    if (encoded.isErr()) {
      this.surroundings.logger.error('A frame cannot be sent.', { reason: encoded.error.message })
      return false
    }
    return this.queue.add(frame.kind, encoded.value, onWritten)
  }

  private async receive (): Promise<void> {
    for (;;) {
      const next = await this.frames.next()
      if (next.done === true) return
      this.lastHeard = this.surroundings.clock.now()
      this.surroundings.counter.received(next.value.frame.kind, next.value.bytes)
      this.take(next.value.frame)
    }
  }

  private take (frame: PeerFrame): void {
    if (frame.kind !== 'heartbeat') this.lastUsed = this.lastHeard
    if (isReply(frame)) return this.calls.answered(frame)
    if (isCall(frame)) {
      this.answer(frame)
      return
    }
    if (frame.kind === 'hello') throw new LimpetwinchError('bad-frame', { reason: 'a second hello' })
    if (frame.kind === 'heartbeat') this.surroundings.onHeartbeat(this.peer, this.heartbeats.heard(frame))
    this.surroundings.dispatcher.notice(this.peer.instance, frame)
  }

  private async answer (frame: CallFrame): Promise<void> {
    const body = await this.surroundings.dispatcher.call(this.peer.instance, frame, this.ending.signal)
    const sent = this.send({ ...body, call: frame.call } as PeerFrame)
    // An answer that cannot be queued would leave the asker waiting; the end of the connection tells it.
    if (!sent) this.end('its send queue is full')
  }

  /** Sends heartbeats and ends the connection when the peer has gone silent. */
  private async beat (): Promise<void> {
    const { clock, counter } = this.surroundings
    let lastTick = clock.now()
    while (!this.ending.signal.aborted) {
      const encoded = encodeFrame(this.heartbeats.next(this.surroundings.describe()))
      if (encoded.isOk()) this.queue.addUrgent('heartbeat', encoded.value)
      await clock.sleep(this.intervalMilliseconds, this.ending.signal)
      const now = clock.now()
      // After a pause of this process the peer's frames still wait unread in the socket: it was not the peer that
      // was silent. One more interval lets them be read.
      const paused = now - lastTick > 2 * this.intervalMilliseconds
      lastTick = now
      if (paused || this.ending.signal.aborted) continue
      if (now - this.lastHeard <= SILENT_AFTER_INTERVALS * this.intervalMilliseconds) continue
      counter.silentConnections += 1
      this.surroundings.logger.warn('A connection went silent and is replaced.', { peer: this.peer.instance })
      this.end('the connection went silent')
    }
  }

  private note (cause: unknown): void {
    if (!(cause instanceof LimpetwinchError)) return
    this.surroundings.counter.badFrames += 1
    this.surroundings.logger.warn('A frame was refused and its connection closed.', { peer: this.peer.instance, reason: cause.message })
  }
}

/** Reads a socket as checked frames; a bad frame is thrown as `bad-frame`, which ends the connection. */
export async function * framesOf (socket: Socket): AsyncGenerator<DecodedFrame, void> {
  const reader = new FrameReader()
  for await (const chunk of socket) {
    const frames = reader.read(chunk as Buffer)
    if (frames.isErr()) throw frames.error
    yield * frames.value
  }
}

/** Each call under way listens for the end of its connection, so the usual bound for leaks does not fit. */
function withManyListeners (controller: AbortController): AbortController {
  setMaxListeners(0, controller.signal)
  return controller
}
