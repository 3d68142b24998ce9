/**
 * Records the time of the last contact with each endpoint, which is when response headers, an event or a part of a body were last received from the
 * endpoint: for one attempt, and on any connection. When an attempt has no contact but its endpoint has recent contact on other
 * connections, the run of the request is paused. An endpoint without contact on any connection is lost.
 */
import type { Clock, EndpointId } from '@limpetwinch/core'
import { isProgress } from './attempt.js'
import type { AttemptSink } from './attempt.js'

/** Monotonic time at which this instance last received response headers or body bytes from each endpoint. */
export class EndpointContacts {
  private readonly clock: Clock
  private readonly lastContacts = new Map<EndpointId, number>()
  /** Monotonic time at which bytes last arrived from any endpoint. */
  latestContactAt = -Infinity

  /** @param clock - monotonic time */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Starts to record when the response of one attempt on the endpoint arrives. @returns the record of the attempt */
  watch (endpoint: EndpointId): AttemptContact {
    return new AttemptContact(this.clock, (now) => this.recordContact(endpoint, now), () => this.lastContacts.get(endpoint))
  }

  /** @returns monotonic time at which the last response bytes arrived from the endpoint; undefined if none ever did */
  lastContactAt (endpoint: EndpointId): number | undefined {
    return this.lastContacts.get(endpoint)
  }

  /** Removes an endpoint that has left. */
  forget (endpoint: EndpointId): void {
    this.lastContacts.delete(endpoint)
  }

  private recordContact (endpoint: EndpointId, now: number): void {
    this.lastContacts.set(endpoint, now)
    this.latestContactAt = now
  }
}

/** Time at which the last response bytes of one attempt arrived; the time of sending while none have arrived. */
export class AttemptContact {
  private readonly clock: Clock
  private readonly onContact: (now: number) => void
  private readonly endpointLastContactAt: () => number | undefined
  private lastContactAt: number

  constructor (clock: Clock, onContact: (now: number) => void, endpointLastContactAt: () => number | undefined) {
    this.clock = clock
    this.onContact = onContact
    this.endpointLastContactAt = endpointLastContactAt
    this.lastContactAt = clock.now()
  }

  /** @returns a sink that records when the response headers and each chunk of the body that is a part of an answer arrive, and passes them on to the given sink */
  through (sink: AttemptSink): AttemptSink {
    return {
      head: (head) => {
        this.recordContact()
        sink.head(head)
      },
      data: (chunk) => {
        const use = sink.data(chunk)
        if (isProgress(use)) this.recordContact()
        return use
      }
    }
  }

  /**
   * Log fields, both in milliseconds: `quiet` is the time since the attempt was sent or received its last response bytes, and
   * `endpointQuiet` is the time since any connection to the endpoint received response bytes.
   */
  get logFields (): { readonly quiet: number, readonly endpointQuiet: number | undefined } {
    const now = this.clock.now()
    const endpointLastContactAt = this.endpointLastContactAt()
    return {
      quiet: Math.round(now - this.lastContactAt),
      endpointQuiet: endpointLastContactAt === undefined ? undefined : Math.round(now - endpointLastContactAt)
    }
  }

  private recordContact (): void {
    this.lastContactAt = this.clock.now()
    this.onContact(this.lastContactAt)
  }
}
