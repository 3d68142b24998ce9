/** Trace that an experiment replays: requests with their arrival times, and engine restarts. */

/** One request of a trace, with the fields of one line of a trace file. */
export interface TraceRequest {
  readonly atMilliseconds: number
  readonly team: string
  readonly adapter: string
  readonly version: string
  /** Priority class, such as `interactive`. */
  readonly priorityClass: string
  readonly promptTokens: number
  readonly outputTokens: number
  readonly idempotent: boolean
}

/** A restart of an engine, which loses its loaded adapters and running requests. */
export interface TraceRestart {
  readonly atMilliseconds: number
  /** Index of the engine. */
  readonly engine: number
}

/** Size of the deployment on which a trace is replayed. */
export interface DeploymentSize {
  readonly engines: number
  readonly slots: number
  readonly loadsPerSecond: number
}

/** A trace with the deployment size, the team weights and the restarts of its replay. */
export interface Trace {
  readonly name: string
  readonly size: DeploymentSize
  /** Requests in order of arrival time. */
  readonly requests: readonly TraceRequest[]
  /** Weights of the teams; 1 for a team without an entry. */
  readonly weights: ReadonlyMap<string, number>
  readonly restarts: readonly TraceRestart[]
  /** Earlier requests fill the empty slots; they are replayed and counted as completed, but left out of the percentiles. */
  readonly measuredFromMilliseconds: number
  /** The requests without the flood, for a control run that shows its effect on the other teams. */
  readonly control?: readonly TraceRequest[]
  /** The team that sends the flood. */
  readonly floodTeam?: string
}

/** @returns `team/adapter@version` */
export function adapterKeyOf (request: TraceRequest): string {
  return `${request.team}/${request.adapter}@${request.version}`
}
