/** How long endpoints have said nothing: on the connection of one try, and on any. It tells a paused run from a lost endpoint. */
import type { Clock, EndpointId } from '@limpetwinch/core'
import type { AttemptSink } from './attempt.js'

/** When endpoints were last heard. */
export class EndpointContacts {
  private readonly clock: Clock
  private readonly lastContacts = new Map<EndpointId, number>()

  /** @param clock - monotonic time */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Begins with a try on the endpoint. */
  watch (endpoint: EndpointId): AttemptContact {
    return new AttemptContact(this.clock, (now) => { this.lastContacts.set(endpoint, now) }, () => this.lastContacts.get(endpoint))
  }

  /** @returns monotonic time at which the endpoint was last heard; undefined if never */
  lastContactAt (endpoint: EndpointId): number | undefined {
    return this.lastContacts.get(endpoint)
  }

  /** The endpoint is gone. */
  forget (endpoint: EndpointId): void {
    this.lastContacts.delete(endpoint)
  }
}

/** What was heard of one try. */
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

  /** @returns a sink that hands everything on */
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

  /** For the log, milliseconds: since the try was sent or heard last, and since the endpoint was heard on any connection. */
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
