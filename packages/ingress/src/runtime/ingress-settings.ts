/** What an ingress instance is told at its start. */
import type { DataCentreId } from '@limpetwinch/core'

/** Bounds on repeats of requests, for one service over all instances. */
export interface RepeatSettings {
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
  /** Each address is `host:port`. */
  readonly callerAddress: string
  readonly readinessAddress: string
  readonly peerAddress: string
  readonly metricsAddress: string
  readonly storeAddress: string
  /** Time from the signal to stop until the process is killed. */
  readonly stopMilliseconds: number
  readonly repeats: RepeatSettings
  /** Whether endpoints refuse orders with an old fencing token. */
  readonly fencedEndpoints: boolean
  /** Two instances must not order one endpoint within this time. */
  readonly leaseMilliseconds: number
  /** Time in which a new adapter version must be in use. */
  readonly newVersionMilliseconds: number
}
