/** The heartbeats of one connection: numbers, echoes and the times that they prove. */
import type { Clock, HeartbeatFrame } from '@limpetwinch/core'
import type { ReceivedHeartbeat, HeartbeatBody } from './peer-links.js'

/** How many sent heartbeats are remembered; an older echo is too old to prove anything. */
const REMEMBERED_HEARTBEATS = 16

interface SentAt {
  readonly sequence: number
  readonly monotonic: number
  readonly wall: number
}

/** Writes and reads the heartbeats of one connection. */
export class HeartbeatTracker {
  private readonly clock: Clock
  private sequence = 0
  private lastReceived = 0
  private sent: SentAt[] = []

  /** @param clock - dates what is sent */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** @returns the next heartbeat to send */
  next (body: HeartbeatBody): HeartbeatFrame {
    this.sequence += 1
    this.sent.push({ sequence: this.sequence, monotonic: this.clock.now(), wall: this.clock.wallTime() })
    if (this.sent.length > REMEMBERED_HEARTBEATS) this.sent.shift()
    return { kind: 'heartbeat', sequence: this.sequence, echo: this.lastReceived, ...body }
  }

  /** @returns a received heartbeat with the time at which the one it echoes was sent */
  heard (frame: HeartbeatFrame): ReceivedHeartbeat {
    this.lastReceived = frame.sequence
    return { frame, echoedSentAt: this.sent.find((sent) => sent.sequence === frame.echo) }
  }
}
