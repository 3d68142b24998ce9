/** The accepted configuration of routed requests, decoded once at the platform's boundary. */
import type { Branded, EndpointId } from '@limpetwinch/core'

/** A group of interchangeable endpoints. */
export type ServiceName = Branded<string, 'ServiceName'>
/** A model that engines hold in whole. */
export type ModelName = Branded<string, 'ModelName'>

/** What may be repeated: `safe` any number of times, `unsafe` once, `stream` as its route says. */
export type RouteKind = 'safe' | 'unsafe' | 'stream'

/** One of the services that share a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName
  /** Share relative to the other targets of the route. */
  readonly weight: number
}

/** Where requests of one host and path prefix go, and how long they may take. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMilliseconds: number
  /** Time within which an answer is of full use: the whole answer, or the first event of a stream. */
  readonly objectiveMilliseconds: number
  /** The longest pause between two events of a stream that is still of full use to its caller. */
  readonly gapMilliseconds: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Endpoints on which one request may be tried. */
  readonly mostAttempts: number
  /** Whether a stream that broke may go on elsewhere after its last event. */
  readonly resumable: boolean
}

/** One model that a service's engines may hold. */
export interface ModelShape {
  readonly name: ModelName
  readonly megabytes: number
  readonly adapters: number
  readonly adapterMegabytes: number
}

/** What the engines of a service are. */
export interface EngineShape {
  /** Requests in one batch. */
  readonly batchSlots: number
  /** Memory for prompts and output, tokens. */
  readonly memoryTokens: number
  readonly megabytes: number
  readonly adapterSlots: number
  readonly models: readonly ModelShape[]
  /** Whole models that the weight store hands out, a second over all engines. */
  readonly modelLoadsPerSecond: number
}

/** A service and its limits. */
export interface Service {
  readonly name: ServiceName
  /** Connections that one endpoint accepts from all instances together. */
  readonly connectionLimit: number
  /** Absent for plain services. */
  readonly engine: EngineShape | undefined
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: number
  /** An idle connection is kept at least so long. */
  readonly idleMilliseconds: number
}

/** What holds where a configuration is silent. */
export const CONFIGURATION_DEFAULTS = {
  /** HTTP's usual bounds. */
  limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerMilliseconds: 10_000, idleMilliseconds: 15_000 } satisfies CallerLimits,
  connectionLimit: 256,
  /** It only orders who waits; an answer may take up to the request's own deadline. */
  objectiveMilliseconds: 1_000,
  /** Readers take a pause below half a second for a slow writer, not for a fault. */
  gapMilliseconds: 400,
  mostAttempts: 1,
  priority: 0
} as const

/** @returns the kind of a route; one that is not known must not be repeated */
export function routeKind (name: string): RouteKind {
  return name === 'safe' || name === 'stream' ? name : 'unsafe'
}

/** One accepted state. */
export interface Configuration {
  /** Grows with each accepted state. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
}

/** An adapter on a model, as one key: `model/adapter`; the model alone where a request names no adapter. */
export type AdapterKey = Branded<string, 'AdapterKey'>

/** @returns the key of an adapter */
export function adapterKey (model: string, adapter: string | undefined): AdapterKey {
  return (adapter === undefined ? model : `${model}/${adapter}`) as AdapterKey
}

/** @returns the model of an adapter */
export function modelOf (key: AdapterKey): ModelName {
  const slash = key.indexOf('/')
  return (slash === -1 ? key : key.slice(0, slash)) as string as ModelName
}

/** A newer version of an adapter, announced by operators. */
export interface AdapterAnnouncement {
  readonly key: AdapterKey
  readonly version: number
}

/** An adapter in one version, as it lies on an endpoint. */
export interface HeldAdapter {
  readonly key: AdapterKey
  readonly version: number
}

/** What an endpoint says of itself. */
export interface Endpoint {
  readonly id: EndpointId
  /** The store's revision of this entry. */
  readonly revision: number
  readonly service: ServiceName
  /** `host:port`. */
  readonly address: string
  readonly dataCentre: string
  /** Start of this life, Unix milliseconds; an endpoint may start again under its id. 0 where it says nothing. */
  readonly born: number
  /** Grows with each statement of one life. */
  readonly statement: number
  readonly slots: number
  readonly leaving: boolean
  /** Told by an endpoint that is taken away at short notice, milliseconds from its statement; it ends then, whatever it runs. */
  readonly leavesInMilliseconds: number | undefined
  /** Models held in whole. */
  readonly models: readonly ModelName[]
  /** Adapters held, as of the statement. */
  readonly adapters: readonly HeldAdapter[]
}
