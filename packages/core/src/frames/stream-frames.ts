/** Frames on where streams began, by which a stream that is resumed at another instance goes on at the software version that began it. */

/** Where one stream began. */
export type StreamOriginItem = readonly [stream: string, service: string, softwareVersion: string]

/** Streams that began at the sender, to be remembered by the receiver for as long as they may be resumed. */
export interface StreamOriginsFrame {
  readonly kind: 'stream-origins'
  readonly origins: readonly StreamOriginItem[]
}

/** Asks the receiver where a stream began. */
export interface StreamOriginAskFrame {
  readonly kind: 'stream-origin-ask'
  /** Number of this question among those of the sender. */
  readonly number: number
  /** Undefined when the caller has not named the stream; the answer tells the software versions all the same. */
  readonly stream?: string | undefined
  /** The service on which the stream is to go on. */
  readonly service: string
}

/** Answers a `stream-origin-ask`. */
export interface StreamOriginAnswerFrame {
  readonly kind: 'stream-origin-answer'
  readonly number: number
  /** Where the stream began; undefined when the sender does not know. */
  readonly origin?: StreamOriginItem | undefined
  /** The software versions of the service that the sender knows of, those that have left lately among them. */
  readonly softwareVersions: readonly string[]
}
