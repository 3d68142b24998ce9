/** Counts frames and bytes by kind, both ways: the budget of control traffic is read from here. */
import type { FrameKind } from '@limpetwinch/core'
import type { FrameCounts } from './peer-network.js'

interface KindCount {
  sent: number
  received: number
  bytesSent: number
  bytesReceived: number
}

/** Frames and bytes so far. */
export class FrameCounter {
  /** Connections closed for a frame that did not pass its check. */
  badFrames = 0
  /** Connections closed because they went silent. */
  silentConnections = 0
  /** Notices dropped because a send queue was full. */
  droppedNotices = 0
  private readonly kinds = new Map<FrameKind, KindCount>()

  /** Counts a frame handed to the socket. */
  sent (kind: FrameKind, bytes: number): void {
    const count = this.of(kind)
    count.sent += 1
    count.bytesSent += bytes
  }

  /** Counts a frame that came in and passed its check. */
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
