/**
 * Records when response bytes were last received from an endpoint: for one attempt, and on any connection. An attempt without
 * contact on an endpoint with recent contact is a paused run; an endpoint without any contact is lost.
 */
import type { Clock, EndpointId } from '@limpetwinch/core'
import type { AttemptSink } from './attempt.js'

/** Time of the last contact with each endpoint. */
export class EndpointContacts {
  private readonly clock: Clock
  private readonly lastContacts = new Map<EndpointId, number>()

  /** @param clock - monotonic time */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Starts to record the contacts of one attempt on the endpoint. */
  watch (endpoint: EndpointId): AttemptContact {
    return new AttemptContact(this.clock, (now) => { this.lastContacts.set(endpoint, now) }, () => this.lastContacts.get(endpoint))
  }

  /** @returns monotonic time of the last contact with the endpoint; undefined if there was none */
  lastContactAt (endpoint: EndpointId): number | undefined {
    return this.lastContacts.get(endpoint)
  }

  /** Removes an endpoint that has left. */
  forget (endpoint: EndpointId): void {
    this.lastContacts.delete(endpoint)
  }
}

/** Time of the last contact of one attempt. */
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

  /** @returns a sink that records each contact and passes everything on to the given sink */
  through (sink: AttemptSink): AttemptSink {
    return {
      head: (head) => {
        this.recordContact()
        sink.head(head)
      },
      data: (chunk) => {
        this.recordContact()
        sink.data(chunk)
      }
    }
  }

  /** Log fields, milliseconds: since the attempt was sent or had its last contact, and since the last contact on any connection of the endpoint. */
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
