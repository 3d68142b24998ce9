/** Settings of an ingress instance. */
import type { DataCentreId } from '@limpetwinch/core'

/** Limit on the retries of requests to one service, over all instances together. */
export interface RetryBudgetSettings {
  /** Allowed number of retries per request; 0.2 allows one retry per five requests. */
  readonly share: number
  /** Additional retries allowed in each window, whatever the number of requests. */
  readonly slack: number
  readonly windowMilliseconds: number
}

/** How exactly the quotas of teams must be kept, over all instances together. */
export interface QuotaSettings {
  /** Length of the periods in which a team's use is compared with its quota. */
  readonly windowMilliseconds: number
  /** Allowed excess in each window, as a part of the quota. */
  readonly toleranceShare: number
  /** Further allowed excess in each window, in the unit of the quota. */
  readonly toleranceUnits: number
}

/** The settings of one instance. */
export interface IngressSettings {
  /** Name of the instance; stays the same when the process restarts. */
  readonly name: string
  readonly dataCentre: DataCentreId
  /** Whether the whole deployment starts for the first time, so that no instance has registered yet. */
  readonly isFirstStart: boolean
  /** Processor cores available to this process; 0 when unknown. */
  readonly cores: number
  /** Memory that the host grants this process, in megabytes; undefined when unknown. */
  readonly memoryMegabytes?: number | undefined
  /** Descriptors that the host grants this process, for files and connections; undefined when unknown. */
  readonly descriptors?: number | undefined
  /** Address for callers. All addresses have the form `host:port`. */
  readonly callerAddress: string
  readonly readinessAddress: string
  readonly peerAddress: string
  /** Address at which this instance carries connections of others to the endpoints; undefined when it carries none. */
  readonly tunnelAddress?: string | undefined
  readonly metricsAddress: string
  readonly storeAddress: string
  /** Time from the stop signal until the process is killed. */
  readonly stopMilliseconds: number
  readonly repeats: RetryBudgetSettings
  /**
   * Time after which a key that was taken away opens nothing, also at an instance that is cut off; undefined if keys stay valid while an
   * instance is cut off.
   */
  readonly revocationMilliseconds: number | undefined
  readonly quotas: QuotaSettings
  /**
   * Whether callers compete for too little room: adapter loads then go by the urgency of the requests and by what their teams used, and a request whose
   * adapter cannot be loaded in time is refused at once.
   */
  readonly admitsByForecast: boolean
  /** Whether endpoints reject load orders with an old fencing token. */
  readonly fencedEndpoints: boolean
  /** Duration of a lease on the load orders of an endpoint: within one lease, no two instances may send load orders to that endpoint. */
  readonly leaseMilliseconds: number
  /** Longest time from the announcement of a new adapter version until it must be in use. */
  readonly newVersionMilliseconds: number
  /** Time from the acceptance of a configuration until it must be in force at every instance. */
  readonly configurationMilliseconds: number
  /** Time from the announcement that an endpoint leaves until it must receive no new requests. */
  readonly drainMilliseconds: number
}

/** Default port of the metrics address: the one that metrics exporters commonly use. */
export const METRICS_PORT = 9_464

/** Defaults for settings that a platform does not provide. */
export const INGRESS_DEFAULTS = {
  isFirstStart: false,
  cores: 0,
  /** Most platforms wait longer than this between the stop signal and the kill. */
  stopMilliseconds: 8_000,
  /** One retry per five requests, and 20 more in each window of ten seconds, too few for retries to flood an idle service. */
  repeats: { share: 0.2, slack: 20, windowMilliseconds: 10_000 },
  /** Instances that are cut off go on serving unless operators choose otherwise. */
  revocationMilliseconds: undefined,
  quotas: { windowMilliseconds: 10_000, toleranceShare: 0.1, toleranceUnits: 0 },
  /** Must be enabled explicitly, because strict order by urgency costs the less urgent requests of a deployment with room for all. */
  admitsByForecast: false,
  /** Must be enabled explicitly, because endpoints that do not check fencing tokens need more careful load orders. */
  fencedEndpoints: false,
  leaseMilliseconds: 3_000,
  newVersionMilliseconds: 5_000,
  configurationMilliseconds: 4_000,
  drainMilliseconds: 2_000
} as const satisfies Partial<IngressSettings>
