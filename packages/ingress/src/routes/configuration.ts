/** The accepted configuration of routes and services, decoded once at the boundary to the platform. */
import type { Branded, EndpointId, TeamId } from '@limpetwinch/core'

/** Name of a service, which is a group of interchangeable endpoints. */
export type ServiceName = Branded<string, 'ServiceName'>
/** Version of the software that an endpoint runs, as opposed to the versions of models and adapters. Versions have no order. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>
/** Name of a base model, as opposed to an adapter. */
export type ModelName = Branded<string, 'ModelName'>

/**
 * Retry policy of a route. A `safe` request may run on endpoints up to `mostAttempts` times, an `unsafe` one only once. A `stream`
 * request may run up to `mostAttempts` times if its route is `resumable`, otherwise only once.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream'

/** One of the services that share a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName
  /** Each service receives requests of the route in proportion to its weight among the targets. */
  readonly weight: number
}

/** Services that requests of one host and path prefix go to, and their time limits. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time that a caller may be kept waiting for the response. */
  readonly timeoutMilliseconds: number
  /** Latency objective: time within which the complete response, or the first event of a stream, is of full use to the caller. */
  readonly objectiveMilliseconds: number
  /** Longest gap between two events of a stream that is still of full use to the caller. */
  readonly gapMilliseconds: number
  /** Priority of the route's requests; 0 is the most urgent. */
  readonly priority: number
  /** Most attempts of one request that may run on endpoints. */
  readonly mostAttempts: number
  /** Whether a stream that was interrupted may resume on another endpoint after its last event. */
  readonly resumable: boolean
  /** Whether requests need no key of a team. */
  readonly public: boolean
}

/** Digest by which keys of teams are kept and compared; the key itself is kept nowhere. */
export type KeyDigest = Branded<string, 'KeyDigest'>

/** How much a team may use in total, over all instances together. */
export interface TeamQuota {
  /** What is counted: the tokens of each request, or the requests. */
  readonly unit: 'tokens' | 'requests'
  readonly ratePerSecond: number
  /** Units that may be used at once in addition to the rate. */
  readonly burst: number
  /** Tokens that a request counts as when it does not state its tokens. */
  readonly tokensWhenUnstated: number
}

/** A team that callers belong to. */
export interface Team {
  readonly name: TeamId
  readonly keys: readonly KeyDigest[]
  /** Priority of the team's requests; undefined leaves them the priority of their route. */
  readonly priority: number | undefined
  /** Undefined for a team without a limit. */
  readonly quota: TeamQuota | undefined
}

/** One model that a service's engines may hold. */
export interface ModelShape {
  readonly name: ModelName
  readonly megabytes: number
  readonly adapters: number
  readonly adapterMegabytes: number
}

/** Resources of each engine of a service, and the models it may load. */
export interface EngineShape {
  /** Most requests in one batch. */
  readonly batchSlots: number
  /** Memory for prompts and output, tokens. */
  readonly memoryTokens: number
  readonly megabytes: number
  readonly adapterSlots: number
  readonly models: readonly ModelShape[]
  /** Whole models that the weight store delivers per second, over all engines. */
  readonly modelLoadsPerSecond: number
}

/** A service, its limits, and its engines' resources. */
export interface Service {
  readonly name: ServiceName
  /** Most connections that one endpoint accepts from all instances together. */
  readonly connectionLimit: number
  /** Undefined for services without model engines. */
  readonly engine: EngineShape | undefined
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: number
  /** Least time for which an idle connection is kept open. */
  readonly idleMilliseconds: number
}

/** Values that apply where a configuration sets none. */
export const CONFIGURATION_DEFAULTS = {
  /** Limits that are usual for HTTP servers. */
  limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerMilliseconds: 10_000, idleMilliseconds: 15_000 } satisfies CallerLimits,
  connectionLimit: 256,
  /** The default objective only decides the order of waiting requests; a response may take up to the request's own deadline. */
  objectiveMilliseconds: 1_000,
  /** Readers perceive a pause below half a second as slow writing, not as a fault. */
  gapMilliseconds: 400,
  mostAttempts: 1,
  priority: 0
} as const

/** @returns the kind of a route; requests of an unknown kind must not be retried, so it counts as `unsafe` */
export function routeKind (name: string): RouteKind {
  return name === 'safe' || name === 'stream' ? name : 'unsafe'
}

/** An accepted configuration. */
export interface Configuration {
  /** Grows with each accepted configuration. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** Without teams, requests need no key. */
  readonly teams: readonly Team[]
}

/** Key of an adapter on its base model, `model/adapter`; the model alone for a request that names no adapter. */
export type AdapterKey = Branded<string, 'AdapterKey'>

/** @returns the key of an adapter, or of the model itself */
export function adapterKey (model: string, adapter: string | undefined): AdapterKey {
  return (adapter === undefined ? model : `${model}/${adapter}`) as AdapterKey
}

/** @returns the base model of an adapter */
export function modelOf (key: AdapterKey): ModelName {
  const slash = key.indexOf('/')
  return (slash === -1 ? key : key.slice(0, slash)) as string as ModelName
}

/** A newer version of an adapter, announced by operators. */
export interface AdapterAnnouncement {
  readonly key: AdapterKey
  readonly version: number
}

/** An adapter in the version that an endpoint holds. */
export interface HeldAdapter {
  readonly key: AdapterKey
  readonly version: number
}

/** An endpoint, as described by its own entry in the store. */
export interface Endpoint {
  readonly id: EndpointId
  /** Store revision of this entry. */
  readonly revision: number
  readonly service: ServiceName
  /** `host:port`. */
  readonly address: string
  readonly dataCentre: string
  /** Undefined when not stated, as in the state that an instance of an older release passes on. */
  readonly softwareVersion?: SoftwareVersion | undefined
  /** Start time of this incarnation, Unix milliseconds; an endpoint may restart under the same id. 0 when not stated. */
  readonly born: number
  /** Number of this statement; grows with each entry that one incarnation writes. */
  readonly statement: number
  readonly slots: number
  readonly leaving: boolean
  /**
   * Time from this statement until the endpoint ends, even if requests still run on it, in milliseconds. Stated by an endpoint that
   * the platform reclaims at short notice.
   */
  readonly leavesInMilliseconds: number | undefined
  /** Base models that the endpoint holds. */
  readonly models: readonly ModelName[]
  /** Adapters that the endpoint held when it wrote this entry to the store. */
  readonly adapters: readonly HeldAdapter[]
}
