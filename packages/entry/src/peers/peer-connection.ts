/** One connection to one peer, from the end of the handshake to the end of the connection. */
import { setMaxListeners } from 'node:events'
import type { Socket } from 'node:net'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, HelloFrame, Logger, PeerFrame } from '@limpetwinch/core'
import { encodeFrame, FrameReader } from './frame-codec.js'
import type { DecodedFrame } from './frame-codec.js'
import type { FrameCounter } from './frame-counter.js'
import { isCall, isReply } from './frame-dispatcher.js'
import type { FrameDispatcher } from './frame-dispatcher.js'
import { HeartbeatTracker } from './heartbeat-tracker.js'
import { OutstandingCalls } from './outstanding-calls.js'
import type { CallLimits, CallResult } from './outstanding-calls.js'
import type { ReceivedHeartbeat, HeartbeatBody, PeerIdentity } from './peer-links.js'
import type { CallBody, CallFrame, NoticeFrame } from './peer-network.js'
import { SendQueue } from './send-queue.js'

/** Number of heartbeat intervals without any frame after which a connection counts as unresponsive. */
export const UNRESPONSIVE_AFTER_INTERVALS = 3

/** What a connection uses of the network that it belongs to. */
export interface ConnectionDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly counter: FrameCounter
  readonly dispatcher: FrameDispatcher
  readonly heartbeatBody: () => HeartbeatBody
  readonly onHeartbeat: (peer: PeerIdentity, heartbeat: ReceivedHeartbeat) => void
}

/** A connection to a peer whose identity is known. */
export class PeerConnection {
  readonly peer: PeerIdentity
  /** Whether this instance dialled the connection. */
  readonly dialled: boolean
  /** Monotonic time of the last received frame, in milliseconds. */
  lastContactAt: number
  /** Monotonic time of the last frame other than a heartbeat, sent or received; connections on demand end when idle. */
  lastUsedAt: number
  private readonly socket: Socket
  private readonly frames: AsyncIterator<DecodedFrame>
  private readonly dependencies: ConnectionDependencies
  private readonly queue: SendQueue
  private readonly calls: OutstandingCalls
  private readonly heartbeats: HeartbeatTracker
  private readonly intervalMilliseconds: number
  private readonly ending = withManyListeners(new AbortController())

  /**
   * @param socket - the connected socket, after the handshake
   * @param frames - the frames that the peer sends after its hello
   * @param hello - the peer's hello
   * @param dialled - whether this instance dialled the connection
   * @param intervalMilliseconds - interval between heartbeats
   * @param dependencies - what the connection uses of the network
   */
  constructor (
    socket: Socket,
    frames: AsyncIterator<DecodedFrame>,
    hello: HelloFrame,
    dialled: boolean,
    intervalMilliseconds: number,
    dependencies: ConnectionDependencies
  ) {
    this.socket = socket
    this.frames = frames
    this.peer = { instance: hello.instance, dataCentre: hello.dataCentre, address: hello.address }
    this.dialled = dialled
    this.intervalMilliseconds = intervalMilliseconds
    this.dependencies = dependencies
    this.lastContactAt = dependencies.clock.now()
    this.lastUsedAt = this.lastContactAt
    this.queue = new SendQueue(socket, dependencies.counter)
    this.calls = new OutstandingCalls(hello.instance)
    this.heartbeats = new HeartbeatTracker(dependencies.clock)
  }

  /** Whether the connection has ended; it may still be in the connection table. */
  get ended (): boolean {
    return this.ending.signal.aborted
  }

  /** Serves the connection until it ends; outstanding calls fail then. */
  async run (): Promise<void> {
    const heartbeating = this.sendHeartbeats()
    try {
      await this.receive()
    } catch (cause) {
      this.reportBadFrame(cause)
    }
    this.end('the connection ended')
    await heartbeating
  }

  /** Ends the connection at once, without a message to the peer. */
  end (reason: string): void {
    if (this.ending.signal.aborted) return
    this.ending.abort()
    this.socket.destroy()
    this.calls.failAll(reason)
  }

  /** Sends a one-way message, or drops it when the send queue is full. */
  notify (frame: NoticeFrame): void {
    this.lastUsedAt = this.dependencies.clock.now()
    if (!this.send(frame)) this.dependencies.counter.droppedNotices += 1
  }

  /** Sends a one-way message that is already encoded, or drops it when the send queue is full. */
  notifyEncoded (kind: NoticeFrame['kind'], bytes: Buffer): void {
    this.lastUsedAt = this.dependencies.clock.now()
    if (this.ending.signal.aborted || !this.queue.add(kind, bytes)) this.dependencies.counter.droppedNotices += 1
  }

  /** Sends a call to the peer and waits for its result. */
  async call (body: CallBody, limits: CallLimits): Promise<CallResult> {
    this.lastUsedAt = this.dependencies.clock.now()
    return await this.calls.open(limits, (call, onWritten) => this.send({ ...body, call } as CallFrame, onWritten))
  }

  private send (frame: PeerFrame, onWritten?: () => void): boolean {
    if (this.ending.signal.aborted) return false
    const encoded = encodeFrame(frame)
    if (encoded.isErr()) {
      this.dependencies.logger.error('A frame could not be encoded and was not sent.', { reason: encoded.error.message })
      return false
    }
    return this.queue.add(frame.kind, encoded.value, onWritten)
  }

  private async receive (): Promise<void> {
    for (;;) {
      const next = await this.frames.next()
      if (next.done === true) return
      this.lastContactAt = this.dependencies.clock.now()
      this.dependencies.counter.received(next.value.frame.kind, next.value.bytes)
      this.handleFrame(next.value.frame)
    }
  }

  private handleFrame (frame: PeerFrame): void {
    if (frame.kind !== 'heartbeat') this.lastUsedAt = this.lastContactAt
    if (isReply(frame)) return this.calls.answered(frame)
    if (isCall(frame)) {
      this.answer(frame)
      return
    }
    if (frame.kind === 'hello') throw new LimpetwinchError('bad-frame', { reason: 'a second hello' })
    if (frame.kind === 'heartbeat') this.dependencies.onHeartbeat(this.peer, this.heartbeats.heard(frame))
    this.dependencies.dispatcher.deliverNotice(this.peer.instance, frame)
  }

  private async answer (frame: CallFrame): Promise<void> {
    const body = await this.dependencies.dispatcher.call(this.peer.instance, frame, this.ending.signal)
    const sent = this.send({ ...body, call: frame.call } as PeerFrame)
    // Without a reply the caller would wait until its time limit; the end of the connection fails its call at once.
    if (!sent) this.end('its send queue is full')
  }

  /** Sends heartbeats and ends the connection when the peer has become unresponsive. */
  private async sendHeartbeats (): Promise<void> {
    const { clock, counter } = this.dependencies
    let lastTick = clock.now()
    while (!this.ending.signal.aborted) {
      const encoded = encodeFrame(this.heartbeats.next(this.dependencies.heartbeatBody()))
      if (encoded.isOk()) this.queue.addUrgent('heartbeat', encoded.value)
      await clock.sleep(this.intervalMilliseconds, this.ending.signal)
      const now = clock.now()
      // After a pause of this process the peer's frames still wait unread in the socket: the peer was not unresponsive.
      // One more interval leaves time to read them.
      const paused = now - lastTick > 2 * this.intervalMilliseconds
      lastTick = now
      if (paused || this.ending.signal.aborted) continue
      if (now - this.lastContactAt <= UNRESPONSIVE_AFTER_INTERVALS * this.intervalMilliseconds) continue
      counter.silentConnections += 1
      this.dependencies.logger.warn('A connection went silent and is replaced.', { peer: this.peer.instance })
      this.end('the connection went silent')
    }
  }

  private reportBadFrame (cause: unknown): void {
    if (!(cause instanceof LimpetwinchError)) return
    this.dependencies.counter.badFrames += 1
    this.dependencies.logger.warn('A frame was refused and its connection closed.', { peer: this.peer.instance, reason: cause.message })
  }
}

/** Reads validated frames from a socket; an invalid frame is thrown as `bad-frame`, which ends the connection. */
export async function * framesOf (socket: Socket): AsyncGenerator<DecodedFrame, void> {
  const reader = new FrameReader()
  for await (const chunk of socket) {
    const frames = reader.read(chunk as Buffer)
    if (frames.isErr()) throw frames.error
    yield * frames.value
  }
}

/** Each call in progress listens for the end of its connection, so Node's default warning limit for listeners is too low. */
function withManyListeners (controller: AbortController): AbortController {
  setMaxListeners(0, controller.signal)
  return controller
}
