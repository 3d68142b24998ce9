/** Tracks the heartbeats of one connection: their numbers, their echoes and when they were sent. */
import type { Clock, HeartbeatFrame } from '@limpetwinch/core'
import type { ReceivedHeartbeat, HeartbeatBody } from './peer-links.js'

/** Number of sent heartbeats whose times are kept; the echo of an older heartbeat is too old to be of use as evidence. */
const REMEMBERED_HEARTBEATS = 16

interface SentAt {
  readonly sequence: number
  readonly monotonic: number
  readonly wall: number
}

/** Creates the heartbeats to send on one connection and relates received heartbeats to them. */
export class HeartbeatTracker {
  private readonly clock: Clock
  private sequence = 0
  private lastReceived = 0
  private sent: SentAt[] = []

  /** @param clock - provides the times of sent heartbeats */
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

  /** Records a received heartbeat. @returns the received heartbeat, and when this instance sent the one that it echoes */
  heard (frame: HeartbeatFrame): ReceivedHeartbeat {
    this.lastReceived = frame.sequence
    return { frame, echoedSentAt: this.sent.find((sent) => sent.sequence === frame.echo) }
  }
}
