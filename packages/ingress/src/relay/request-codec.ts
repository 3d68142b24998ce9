/** The interface between the relay and the headers of a platform: the relay works with what the headers say, the codec knows their names and formats. */
import type { EndpointId, TeamId } from '@limpetwinch/core'
import type { StatedRateLimit } from '../rate-limits/stated-rate-limit.js'
import type { AdapterKey, KeyDigest } from '../routes/configuration.js'

/** A part of a prompt. An engine may have cached it from an earlier request with the same beginning. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** The adapter that a request asks for; when `name` is undefined, the base model without an adapter. */
export interface NamedAdapter {
  readonly model: string
  readonly name: string | undefined
  readonly key: AdapterKey
}

/** The content of the headers of a request. */
export interface RequestFacts {
  readonly requestId: string | undefined
  /** Identity of the caller as the request states it, without any secret; undefined when the request states none. */
  readonly caller: string | undefined
  /** Digest of the key that the request carries; undefined when it carries none. */
  readonly key: KeyDigest | undefined
  /** How long the caller waits for the response from now on; undefined when the request does not state it. */
  readonly deadlineMilliseconds: number | undefined
  readonly adapter: NamedAdapter | undefined
  /** Whether the request states its numbers of tokens. Both numbers are 0 otherwise. */
  readonly tokens: 'stated' | 'unstated' | 'malformed'
  readonly promptTokens: number
  /** Largest number of output tokens of the response, as stated in the headers of the caller's request. */
  readonly outputTokens: number
  /** The parts of the prompt, in order. */
  readonly promptParts: readonly PromptPart[]
  /** Id of the last event that the caller has received; undefined when the caller does not resume a stream. */
  readonly lastEventId: string | undefined
  /** Id of the caller's attempt that brought the first event of the stream that is resumed; undefined when the caller names none. */
  readonly firstAttempt: string | undefined
}

/** @returns the ids of the parts of a prompt that other requests may share: all but the last, which belongs to the request or its session */
export function sharedPartIds ({ promptParts }: Pick<RequestFacts, 'promptParts'>): readonly string[] {
  return promptParts.slice(0, -1).map(({ id }) => id)
}

/** What the system sends to an endpoint in addition to the caller's headers. */
export interface SendFacts {
  readonly endpoint: EndpointId
  /** Time until the request times out. */
  readonly millisecondsLeft: number
  /** Priority of the request, 0 being the most urgent; undefined for plain services. */
  readonly priority: number | undefined
  /** Version of the adapter without which the endpoint must refuse the request; undefined accepts any version. */
  readonly adapterVersion: number | undefined
  /** Id of the event after which the stream is to be resumed; undefined to start from the beginning. */
  readonly lastEventId: string | undefined
  /** The team whose request this is; undefined when it belongs to no team. */
  readonly team: TeamId | undefined
}

/** The content of the headers of a response. */
export interface ResponseFacts {
  /** Id of the request that the response belongs to; undefined when the response states none. */
  readonly requestId: string | undefined
  /** Whether the response is signed by the endpoint, so that no intermediary produced it. */
  readonly signed: boolean
  /** Whether the response proves that the endpoint did not run the request. */
  readonly notRun: boolean
  /** Whether an intermediary encoded the body, so that its bytes are not those of the endpoint. */
  readonly encoded: boolean
  /** The rate limit that the endpoint names for itself. */
  readonly rateLimit: StatedRateLimit
  /** Refusals in one second for want of room, more of which crash the endpoint; undefined for an endpoint that bears any number. */
  readonly refusalLimit: StatedRateLimit
  /** Whether the endpoint refused the request for want of room. */
  readonly isFull: boolean
  /**
   * Time for which the endpoint asks the instance that it answers to back off, in milliseconds; undefined when it does not, and
   * `malformed` when the value cannot be read.
   */
  readonly backoffMilliseconds: number | 'malformed' | undefined
  /** Whether the endpoint says that it is leaving. */
  readonly isLeaving: boolean
  /** Id of the endpoint that answered; undefined when the response does not name it. */
  readonly answeredBy: string | undefined
}

/** Reads and writes the headers that one platform uses. */
export abstract class RequestCodec {
  /** Reads the headers of a request; their names are in lower case. */
  abstract read (headers: NodeJS.Dict<string | string[]>): RequestFacts

  /** @returns whether a header of this name, in lower case, must not be forwarded unchanged from the caller to an endpoint */
  abstract isSystemHeader (name: string): boolean

  /** @returns the headers that the system adds: names and values, alternating */
  abstract write (facts: SendFacts): string[]

  /** Reads the status and headers of a response; the header names are in lower case. */
  abstract readResponse (status: number, headers: Record<string, string | string[] | undefined>): ResponseFacts
}
