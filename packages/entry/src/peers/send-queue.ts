/** Bounded queue of frames to be written to one connection. */
import type { Socket } from 'node:net'
import type { FrameKind } from '@limpetwinch/core'
import type { FrameCounter } from './frame-counter.js'

/** Maximum number of queued bytes for one peer; beyond it one-way messages are dropped and calls fail. */
export const MAXIMUM_QUEUE_BYTES = 8 * 1024 * 1024

interface QueuedFrame {
  readonly kind: FrameKind
  readonly bytes: Buffer
  readonly onWritten: (() => void) | undefined
}

/** Queues frames in order and writes them to the socket as its buffer drains. */
export class SendQueue {
  private readonly socket: Socket
  private readonly counter: FrameCounter
  private readonly queued: QueuedFrame[] = []
  private queuedBytes = 0

  /**
   * @param socket - the socket to write to
   * @param counter - counts the written frames
   */
  constructor (socket: Socket, counter: FrameCounter) {
    this.socket = socket
    this.counter = counter
    socket.on('drain', () => this.flush())
  }

  /**
   * Adds a frame to the queue.
   *
   * @param kind - kind of the frame, for the counts
   * @param bytes - the encoded frame
   * @param onWritten - called once the frame is written to the socket, from when on the peer may receive it
   * @returns whether the queue had room
   */
  add (kind: FrameKind, bytes: Buffer, onWritten?: () => void): boolean {
    if (this.queuedBytes + bytes.length > MAXIMUM_QUEUE_BYTES) return false
    this.queued.push({ kind, bytes, onWritten })
    this.queuedBytes += bytes.length
    this.flush()
    return true
  }

  /** Writes a frame ahead of the queue: with a heartbeat behind megabytes of other frames, this instance would look unresponsive. */
  addUrgent (kind: FrameKind, bytes: Buffer): void {
    if (this.socket.writableLength < MAXIMUM_QUEUE_BYTES) this.write({ kind, bytes, onWritten: undefined })
  }

  private flush (): void {
    while (!this.socket.destroyed && !this.socket.writableNeedDrain) {
      const next = this.queued.shift()
      if (next === undefined) return
      this.queuedBytes -= next.bytes.length
      this.write(next)
    }
  }

  private write (frame: QueuedFrame): void {
    this.socket.write(frame.bytes)
    this.counter.sent(frame.kind, frame.bytes.length)
    frame.onWritten?.()
  }
}
