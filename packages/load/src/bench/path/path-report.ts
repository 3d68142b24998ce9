/** Report of the path bench and the calculations behind it. */
import type { TimeSummary } from '../../driving/load-metrics.js'
import type { Machine } from './machine.js'

/** Highest request rate of one instance. */
export interface HighestRate {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  /** Processor time of the entry process divided by wall time; about 1 when the entry process, and not the load tool, limited the rate. */
  readonly entryProcessorShare: number
  readonly failed: number
}

/** Time to the first token through limpetwinch, compared with concurrent direct requests to the engines. */
export interface FirstTokenComparison {
  readonly requestsPerSecond: number
  readonly through: TimeSummary
  readonly straight: TimeSummary
  /** Milliseconds that limpetwinch adds. */
  readonly added: { readonly p50: number, readonly p99: number }
  /** Delay of the load tool in sending requests, p99, milliseconds; it affects both kinds of requests equally. */
  readonly latenessP99: number
  readonly failed: number
}

/** Processor time of one process per request and per token. */
export interface ProcessorCost {
  readonly microsecondsPerRequest: number
  readonly microsecondsPerToken: number
  readonly idleShare: number
  readonly phases: readonly ProcessorPhase[]
}

/** One phase of load from which the cost is computed. */
export interface ProcessorPhase {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  /** Processor microseconds per second of wall time. */
  readonly microsecondsPerSecond: number
}

/** Memory of the entry process by number of configured adapters. */
export interface MemorySlope {
  readonly points: readonly { readonly adapters: number, readonly residentBytes: number }[]
  readonly bytesPerAdapter: number
}

/** Comparison of a figure with its target value. */
export interface AimCheck {
  readonly figure: string
  readonly measured: number
  readonly aim: number
  readonly met: boolean
}

/** The complete report. */
export interface PathReport {
  readonly machine: Machine
  readonly outputTokens: number
  readonly highestRate: HighestRate
  readonly firstToken: FirstTokenComparison
  readonly processor: ProcessorCost
  /** Cost of a relay that only forwards bytes, under the same load in the same run: the share that is due to the machine. */
  readonly bareRelay: ProcessorCost
  readonly memory: MemorySlope | undefined
  readonly aims: readonly AimCheck[]
}

const AIMS = { addedP50: 1, addedP99: 3, microsecondsPerToken: 15, bytesPerAdapter: 800 }

/** @returns the comparison of each figure with its target value */
export function checkAims (firstToken: FirstTokenComparison, processor: ProcessorCost, memory: MemorySlope | undefined): AimCheck[] {
  return [
    check('first token added at p50, ms', firstToken.added.p50, AIMS.addedP50),
    check('first token added at p99, ms', firstToken.added.p99, AIMS.addedP99),
    check('processor microseconds per relayed token', processor.microsecondsPerToken, AIMS.microsecondsPerToken),
    ...(memory === undefined ? [] : [check('bytes per configured adapter', memory.bytesPerAdapter, AIMS.bytesPerAdapter)])
  ]
}

function check (figure: string, measured: number, aim: number): AimCheck {
  return { figure, measured, aim, met: measured <= aim }
}

/**
 * Computes the cost of one request and of one token from two phases with about the same number of tokens per second.
 *
 * @param many - phase with many short responses
 * @param few - phase with few long responses
 * @param idle - processor microseconds per second without load
 * @returns the processor microseconds per request and per token
 */
export function solveCost (many: ProcessorPhase, few: ProcessorPhase, idle: number): { microsecondsPerRequest: number, microsecondsPerToken: number } {
  // Two equations: microseconds = idle + requests * perRequest + tokens * perToken.
  const determinant = many.requestsPerSecond * few.tokensPerSecond - few.requestsPerSecond * many.tokensPerSecond
  const manyWork = many.microsecondsPerSecond - idle
  const fewWork = few.microsecondsPerSecond - idle
  return {
    microsecondsPerRequest: (manyWork * few.tokensPerSecond - fewWork * many.tokensPerSecond) / determinant,
    microsecondsPerToken: (many.requestsPerSecond * fewWork - few.requestsPerSecond * manyWork) / determinant
  }
}

/** @returns the slope of the least-squares line through the points */
export function slopeOf (points: readonly { readonly x: number, readonly y: number }[]): number {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length
  const sumOfProducts = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  return sumOfProducts / sumOfSquares
}
