/** Frames on the speeds of engines that the instances measure together. Engines are described by tuples, which are smaller on the wire. */
import type { EndpointId, FencingToken } from '../ids/ids.js'

/** Samples that one instance has taken of one engine. */
export type EngineSamples = readonly [
  endpoint: EndpointId,
  /** Start time of the process of the engine that was measured, in Unix milliseconds. */
  born: number,
  /** Times between two events of a stream, in milliseconds, one for each stream. */
  spacings: readonly number[],
  /** Prompt tokens read per millisecond, one value for each prompt. */
  prefillRates: readonly number[]
]

/** Samples of engines, sent to the load owner of these engines. */
export interface EngineSamplesFrame {
  readonly kind: 'engine-samples'
  readonly engines: readonly EngineSamples[]
}

/** The speed of one engine as estimated by its load owner from the samples of all instances. */
export type EngineSpeed = readonly [
  endpoint: EndpointId,
  born: number,
  /** Fencing token of the load owner; the estimate of an earlier load owner does not replace that of a later one. */
  token: FencingToken,
  /** Time between two events of a stream, in milliseconds; 0 when unknown. */
  spacing: number,
  /** Prompt tokens read per millisecond; 0 when unknown. */
  prefillRate: number,
  /** Number of streams from which the spacing was estimated. */
  samples: number,
  /** Age of the latest sample when the frame was sent, in milliseconds. */
  age: number
]

/** Speeds of engines whose load owner is the sender. */
export interface EngineSpeedsFrame {
  readonly kind: 'engine-speeds'
  readonly speeds: readonly EngineSpeed[]
}
