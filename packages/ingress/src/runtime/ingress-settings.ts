/** What an ingress instance is told at its start. */
import type { DataCentreId } from '@limpetwinch/core'

/** Bounds on repeats of requests, for one service over all instances. */
export interface RetryBudgetSettings {
  /** Repeats for each request. */
  readonly share: number
  /** Repeats in a window whatever the number of requests. */
  readonly slack: number
  readonly windowMilliseconds: number
}

/** The settings of one instance. */
export interface IngressSettings {
  /** Stays the same when the process is started again. */
  readonly name: string
  readonly dataCentre: DataCentreId
  /** What the host gives this process, in cores; 0 where it is not known. */
  readonly cores: number
  /** Each address is `host:port`. */
  readonly callerAddress: string
  readonly readinessAddress: string
  readonly peerAddress: string
  readonly metricsAddress: string
  readonly storeAddress: string
  /** Time from the signal to stop until the process is killed. */
  readonly stopMilliseconds: number
  readonly repeats: RetryBudgetSettings
  /** Whether endpoints refuse orders with an old fencing token. */
  readonly fencedEndpoints: boolean
  /** Two instances must not order one endpoint within this time. */
  readonly leaseMilliseconds: number
  /** Time in which a new adapter version must be in use. */
  readonly newVersionMilliseconds: number
}

/** The port of the metrics address where a platform names none: the usual one of exporters. */
export const METRICS_PORT = 9_464

/** What holds where a platform says nothing of it. */
export const INGRESS_DEFAULTS = {
  cores: 0,
  /** What most platforms wait between the signal to stop and the kill is longer. */
  stopMilliseconds: 8_000,
  /** One repeat for each five requests, and so few besides that a quiet service cannot be flooded. */
  repeats: { share: 0.2, slack: 20, windowMilliseconds: 10_000 },
  /** Taken for granted only where it is said: unfenced endpoints are ordered more carefully. */
  fencedEndpoints: false,
  leaseMilliseconds: 3_000,
  newVersionMilliseconds: 5_000
} as const satisfies Partial<IngressSettings>
