/** How long endpoints have said nothing: on the connection of one try, and on any. It tells a paused run from a lost endpoint. */
import type { Clock, EndpointId } from '@limpetwinch/core'
import type { AttemptSink } from './attempt.js'

/** When endpoints were last heard. */
export class EndpointSilence {
  private readonly clock: Clock
  private readonly lastHeard = new Map<EndpointId, number>()

  /** @param clock - monotonic time */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Begins with a try on the endpoint. */
  watch (endpoint: EndpointId): HeardTry {
    return new HeardTry(this.clock, (now) => { this.lastHeard.set(endpoint, now) }, () => this.lastHeard.get(endpoint))
  }

  /** @returns monotonic time at which the endpoint was last heard; undefined if never */
  heardAt (endpoint: EndpointId): number | undefined {
    return this.lastHeard.get(endpoint)
  }

  /** The endpoint is gone. */
  forget (endpoint: EndpointId): void {
    this.lastHeard.delete(endpoint)
  }
}

/** What was heard of one try. */
export class HeardTry {
  private readonly clock: Clock
  private readonly onHeard: (now: number) => void
  private readonly endpointHeardAt: () => number | undefined
  private heardAt: number

  constructor (clock: Clock, onHeard: (now: number) => void, endpointHeardAt: () => number | undefined) {
    this.clock = clock
    this.onHeard = onHeard
    this.endpointHeardAt = endpointHeardAt
    this.heardAt = clock.now()
  }

  /** @returns a sink that hands everything on */
  through (sink: AttemptSink): AttemptSink {
    return {
      head: (head) => {
        this.hear()
        sink.head(head)
      },
      data: (chunk) => {
        this.hear()
        sink.data(chunk)
      }
    }
  }

  /** For the log, milliseconds: since the try was sent or heard last, and since the endpoint was heard on any connection. */
  get traits (): { readonly quiet: number, readonly endpointQuiet: number | undefined } {
    const now = this.clock.now()
    const endpointHeardAt = this.endpointHeardAt()
    return {
      quiet: Math.round(now - this.heardAt),
      endpointQuiet: endpointHeardAt === undefined ? undefined : Math.round(now - endpointHeardAt)
    }
  }

  private hear (): void {
    this.heardAt = this.clock.now()
    this.onHeard(this.heardAt)
  }
}
