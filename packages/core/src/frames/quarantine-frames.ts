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
  /**
   * The runs of the sender that the crash ended before or shortly after their answers began. For each: how long it had been on the endpoint,
   * in milliseconds, and the fingerprints of the parts of its prompt. Absent when there is none.
   */
  readonly accusedRuns?: readonly (readonly [milliseconds: number, parts: readonly string[]])[] | undefined
}

/** Reports parts of prompts that do not crash endpoints, because requests with them were answered. */
export interface SoundPartsFrame {
  readonly kind: 'sound-parts'
  /** Fingerprints of the parts. */
  readonly parts: readonly string[]
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

/** Reports a quarantine: no instance sends the request, or requests with the part of prompts, to endpoints, because it is held responsible for crashes. */
export interface RequestVerdictFrame {
  readonly kind: 'request-verdict'
  /** Of the request, or of the part of prompts. */
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
