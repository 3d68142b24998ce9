/** Counts sent and received frames and their bytes by kind, to check the traffic between instances against its budget. */
import type { FrameKind } from '@limpetwinch/core'
import type { FrameCounts } from './peer-network.js'

interface KindCount {
  sent: number
  received: number
  bytesSent: number
  bytesReceived: number
}

/** Counts of frames, bytes and connection faults since this instance started. */
export class FrameCounter {
  /** Invalid frames, and failed handshakes of accepted connections. Each ends its connection, except an invalid forwarded frame. */
  badFrames = 0
  /** Connections closed because no frame had arrived for three heartbeat intervals. */
  silentConnections = 0
  /** One-way messages dropped because a send queue was full or no connection was available. */
  droppedNotices = 0
  private readonly kinds = new Map<FrameKind, KindCount>()

  /** Counts a frame that was written to the socket. */
  sent (kind: FrameKind, bytes: number): void {
    const count = this.of(kind)
    count.sent += 1
    count.bytesSent += bytes
  }

  /** Counts a received frame that passed validation. */
  received (kind: FrameKind, bytes: number): void {
    const count = this.of(kind)
    count.received += 1
    count.bytesReceived += bytes
  }

  /** @returns a copy of the counts */
  counts (): FrameCounts {
    return Object.fromEntries([...this.kinds].map(([kind, count]) => [kind, { ...count }])) as FrameCounts
  }

  private of (kind: FrameKind): KindCount {
    let count = this.kinds.get(kind)
    if (count === undefined) {
      count = { sent: 0, received: 0, bytesSent: 0, bytesReceived: 0 }
      this.kinds.set(kind, count)
    }
    return count
  }
}
