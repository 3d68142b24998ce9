/** Frames on crashed endpoints and the requests that are suspected of it. */
import type { EndpointId } from '../ids/ids.js'

/** Reports that an endpoint crashed, and which requests of the sender were in flight on it. */
export interface EndpointCrashFrame {
  readonly kind: 'endpoint-crash'
  /** Id of the endpoint and start time of the crashed incarnation, as `id/born`. */
  readonly life: string
  readonly service: string
  /** Time since the crash when this frame was sent, in milliseconds. */
  readonly millisecondsAgo: number
  /**
   * The requests in flight. For each: how long the request had been on the endpoint, in milliseconds, and whether the request ran in
   * isolation from other suspected requests.
   */
  readonly aboard: readonly (readonly [fingerprint: string, milliseconds: number, isolated: boolean])[]
}

/**
 * Coordinates isolated runs of requests that are suspected of crashing endpoints. Only one instance at a time runs a suspected request,
 * on an endpoint that runs no other suspected request.
 */
export interface RequestTrialFrame {
  readonly kind: 'request-trial'
  readonly fingerprint: string
  /**
   * `claimed`: the sender wants to run the request and asks peers for objections. `running`: such an objection, because a claim of
   * the sender conflicts. `sent`: the request was sent to the endpoint, and peers count the run. `over`: the run ended.
   * `completed`: the run completed without a crash, which clears the request of all suspicion.
   */
  readonly state: 'claimed' | 'running' | 'sent' | 'over' | 'completed'
  /** The endpoint on which the request runs; absent when the request no longer runs. */
  readonly endpoint?: EndpointId | undefined
  /** Time after which the sender's claim to run the request lapses, in milliseconds; 0 when the run is over. */
  readonly milliseconds: number
}

/** Reports the quarantine of a request: no instance sends the request to endpoints, because the request is held responsible for crashes. */
export interface RequestVerdictFrame {
  readonly kind: 'request-verdict'
  readonly fingerprint: string
  /** Number of crashes that are attributed to the request. */
  readonly crashes: number
  /** Number of quarantines in a row without a completed run between them. */
  readonly strikes: number
  /** Whether it is ruled out that the request was in flight at the crashes by coincidence. */
  readonly certain: boolean
  /** Time in milliseconds until one trial run of the request is allowed. */
  readonly remainingMilliseconds: number
}
