/** Frames on the places of a plain service whose slots are few against the instances. */

/** Asks the place owner of a service, the instance that lends the places of its endpoints, for a place for one request. */
export interface PlaceAskFrame {
  readonly kind: 'place-ask'
  readonly service: string
  /** Number of this ask among all of the sender. */
  readonly number: number
  readonly priority: number
  /** Endpoints that the request must not be sent to. */
  readonly excluded: readonly string[]
  readonly dataCentre: string
  /** Time until the answer is late by the latency objective, in milliseconds; negative if it is late already. */
  readonly onTimeMilliseconds: number
  /** Time until the request times out, in milliseconds. */
  readonly timeLeftMilliseconds: number
}

/** Answers a `place-ask`. An ask that is queued is answered again with a grant or a refusal. */
export interface PlaceAnswerFrame {
  readonly kind: 'place-answer'
  readonly service: string
  readonly number: number
  /** `not-owner`: the answering instance does not lend the places of the service. */
  readonly decision: 'granted' | 'queued' | 'refused' | 'not-owner'
  /** The endpoint at which a place was granted. */
  readonly endpoint?: string | undefined
  /** Expected time until a place is free, in milliseconds. */
  readonly milliseconds: number
}

/** Gives a place back to the instance that granted it, or withdraws an ask. */
export interface PlaceReturnFrame {
  readonly kind: 'place-return'
  readonly service: string
  readonly number: number
  /**
   * How the use of the place ended. `error`: the endpoint answered with an error of its own. `full`: it refused the request for want of room.
   * `abandoned`: the request was given up before its answer, or never sent.
   */
  readonly end: 'answered' | 'error' | 'full' | 'failed' | 'abandoned'
  /** Time from the sending of the request to the end of its answer, in milliseconds. */
  readonly milliseconds: number
}
