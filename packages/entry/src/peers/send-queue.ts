/** What waits to be written to one connection, bounded. */
import type { Socket } from 'node:net'
import type { FrameKind } from '@limpetwinch/core'
import type { FrameCounter } from './frame-counter.js'

/** Bytes that may wait for one peer; beyond it notices are dropped and calls refused. */
export const MAXIMUM_QUEUE_BYTES = 8 * 1024 * 1024

interface Waiting {
  readonly kind: FrameKind
  readonly bytes: Buffer
  readonly onWritten: (() => void) | undefined
}

/** Frames in order, handed to the socket as it drains. */
export class SendQueue {
  private readonly socket: Socket
  private readonly counter: FrameCounter
  private readonly waiting: Waiting[] = []
  private waitingBytes = 0

  /**
   * @param socket - where to
   * @param counter - counts what is written
   */
  constructor (socket: Socket, counter: FrameCounter) {
    this.socket = socket
    this.counter = counter
    socket.on('drain', () => this.flush())
  }

  /**
   * Adds a frame.
   *
   * @param onWritten - called once the frame was handed to the socket, from when on the peer may see it
   * @returns whether there was room
   */
  add (kind: FrameKind, bytes: Buffer, onWritten?: () => void): boolean {
    if (this.waitingBytes + bytes.length > MAXIMUM_QUEUE_BYTES) return false
    this.waiting.push({ kind, bytes, onWritten })
    this.waitingBytes += bytes.length
    this.flush()
    return true
  }

  /** Writes a frame past the queue: a heartbeat behind megabytes of other frames would look like silence. */
  addUrgent (kind: FrameKind, bytes: Buffer): void {
    if (this.socket.writableLength < MAXIMUM_QUEUE_BYTES) this.write({ kind, bytes, onWritten: undefined })
  }

  private flush (): void {
    while (!this.socket.destroyed && !this.socket.writableNeedDrain) {
      const next = this.waiting.shift()
      if (next === undefined) return
      this.waitingBytes -= next.bytes.length
      this.write(next)
    }
  }

  private write (frame: Waiting): void {
    this.socket.write(frame.bytes)
    this.counter.sent(frame.kind, frame.bytes.length)
    frame.onWritten?.()
  }
}
