/** What the product reads from a request's headers and writes for endpoints; the wire's names are the codec's. */
import type { EndpointId } from '@limpetwinch/core'
import type { AdapterKey } from '../routes/configuration.js'

/** A part of a prompt that may be kept by an engine. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** The adapter that a request names; the model alone when `name` is undefined. */
export interface NamedAdapter {
  readonly model: string
  readonly name: string | undefined
  readonly key: AdapterKey
}

/** What the headers of a request say. */
export interface RequestFacts {
  readonly requestId: string | undefined
  /** What the caller identifies itself by; undefined when it does not. */
  readonly caller: string | undefined
  /** How long the caller waits from now on; undefined when it does not say. */
  readonly deadlineMilliseconds: number | undefined
  readonly adapter: NamedAdapter | undefined
  readonly promptTokens: number
  /** Most output tokens. */
  readonly outputTokens: number
  /** The parts of the prompt, in order. */
  readonly promptParts: readonly PromptPart[]
  /** A caller that resumes a stream names the last event that it has. */
  readonly lastEventId: string | undefined
}

/** What an endpoint is told beside the caller's own headers. */
export interface SendFacts {
  readonly endpoint: EndpointId
  readonly millisecondsLeft: number
  /** 0 is the most urgent; undefined for plain services. */
  readonly priority: number | undefined
  /** Refused unless the endpoint has the adapter in this version; undefined accepts any. */
  readonly adapterVersion: number | undefined
  readonly lastEventId: string | undefined
}

/** What the headers of an answer say. */
export interface ResponseFacts {
  /** The request that it answers. */
  readonly requestId: string | undefined
  /** Whether the endpoint itself made it. */
  readonly signed: boolean
  /** Whether it proves that the request has not run there. */
  readonly notRun: boolean
  /** Whether the body was encoded on the way, and so is not the endpoint's. */
  readonly encoded: boolean
}

/** Reads and writes the headers of one platform. */
export abstract class RequestCodec {
  /** Reads a request's headers, names in lower case. */
  abstract read (headers: NodeJS.Dict<string | string[]>): RequestFacts

  /** @returns whether a caller's header of this name, in lower case, must not reach an endpoint as it came */
  abstract isSystemHeader (name: string): boolean

  /** @returns the headers that the system adds, name and value in turn */
  abstract write (facts: SendFacts): string[]

  /** Reads an answer's status and headers, names in lower case. */
  abstract readResponse (status: number, headers: Record<string, string | string[] | undefined>): ResponseFacts
}
