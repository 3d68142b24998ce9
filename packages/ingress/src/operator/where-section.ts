/** A part of the answer to where a request would go, supplied by one room of the instance. */
import type { EndpointId } from '@limpetwinch/core'
import type { RequestFacts } from '../relay/request-codec.js'
import type { Route, Service, Team } from '../routes/configuration.js'

/** The described request, as the rooms see it. */
export interface WhereSubject {
  readonly facts: RequestFacts
  readonly route: Route
  readonly service: Service
  readonly team: Team | undefined
  readonly priority: number
  /** The candidates that are listed, cheapest first. */
  readonly endpoints: readonly EndpointId[]
}

/** Describes what one room would do with a request. It must read only: no count, wait, reservation or message. */
export abstract class WhereSection {
  /** Name of the part in the answer. */
  abstract readonly name: string

  /** @returns the fields of the part; undefined when the room has nothing to do with the request */
  abstract describe (subject: WhereSubject, now: number): Readonly<Record<string, unknown>> | undefined
}
