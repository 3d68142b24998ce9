/** What the path bench prints. */
import type { TimeSummary } from '../../driving/load-metrics.js'
import type { Machine } from './machine.js'

/** The highest rate of one instance. */
export interface HighestRate {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  /** Processor time of the entry process over wall time; about 1 when it, and not the load, was the bound. */
  readonly entryProcessorShare: number
  readonly failed: number
}

/** First tokens through limpetwinch against straight to the engines, at the same time. */
export interface FirstTokenComparison {
  readonly requestsPerSecond: number
  readonly through: TimeSummary
  readonly straight: TimeSummary
  /** Milliseconds added. */
  readonly added: { readonly p50: number, readonly p99: number }
  /** By how much the load tool sent late, milliseconds at p99; both ways suffer from it alike. */
  readonly latenessP99: number
  readonly failed: number
}

/** Processor time of one process. */
export interface ProcessorCost {
  readonly microsecondsPerRequest: number
  readonly microsecondsPerToken: number
  readonly idleShare: number
  readonly phases: readonly ProcessorPhase[]
}

/** One phase from which the cost is computed. */
export interface ProcessorPhase {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  /** Processor microseconds in each second of wall time. */
  readonly microsecondsPerSecond: number
}

/** Memory of the entry process by configured adapters. */
export interface MemorySlope {
  readonly points: readonly { readonly adapters: number, readonly residentBytes: number }[]
  readonly bytesPerAdapter: number
}

/** Whether a figure is within its aim. */
export interface AimCheck {
  readonly figure: string
  readonly measured: number
  readonly aim: number
  readonly met: boolean
}

/** The whole document. */
export interface PathReport {
  readonly machine: Machine
  readonly outputTokens: number
  readonly highestRate: HighestRate
  readonly firstToken: FirstTokenComparison
  readonly processor: ProcessorCost
  /** The same of a relay that only passes bytes on, under the same load in the same run: the machine's own share. */
  readonly bareRelay: ProcessorCost
  readonly memory: MemorySlope | undefined
  readonly aims: readonly AimCheck[]
}

const AIMS = { addedP50: 1, addedP99: 3, microsecondsPerToken: 15, bytesPerAdapter: 800 }

/** @returns each figure against its aim */
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
 * Solves for the cost of one request and of one token from two phases with the same tokens in a second.
 *
 * @param many - many short answers
 * @param few - few long answers
 * @param idle - processor microseconds in a second without load
 * @returns microseconds
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

/** @returns the slope of a straight line through points, by least squares */
export function slopeOf (points: readonly { readonly x: number, readonly y: number }[]): number {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length
  const shared = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  return shared / spread
}
