/** What the experiments replay: requests with their times, and restarts. */

/** One request of a trace; the same fields as one line of a trace file. */
export interface TraceRequest {
  readonly atMilliseconds: number
  readonly team: string
  readonly adapter: string
  readonly version: string
  /** Class of priority, such as `interactive`. */
  readonly priorityClass: string
  readonly promptTokens: number
  readonly outputTokens: number
  readonly idempotent: boolean
}

/** An engine that restarts cold. */
export interface TraceRestart {
  readonly atMilliseconds: number
  /** Index of the engine. */
  readonly engine: number
}

/** The engines that a trace is replayed on. */
export interface DeploymentSize {
  readonly engines: number
  readonly slots: number
  readonly loadsPerSecond: number
}

/** A trace with what belongs to it. */
export interface Trace {
  readonly name: string
  readonly size: DeploymentSize
  /** In the order of their times. */
  readonly requests: readonly TraceRequest[]
  /** Weights between teams; 1 for a team not named. */
  readonly weights: ReadonlyMap<string, number>
  readonly restarts: readonly TraceRestart[]
  /** Requests before this fill the empty slots; they are run and counted as completed, but not in the percentiles. */
  readonly measuredFromMilliseconds: number
  /** The same without the flood, for comparison of the other teams. */
  readonly control?: readonly TraceRequest[]
  /** The team whose flood the control run leaves out. */
  readonly floodTeam?: string
}

/** @returns `team/adapter@version` */
export function adapterKeyOf (request: TraceRequest): string {
  return `${request.team}/${request.adapter}@${request.version}`
}
