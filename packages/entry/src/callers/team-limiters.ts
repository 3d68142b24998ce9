/** Enforces the limits of teams on this instance and follows changes of the settings. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, OperatorSettings, TeamId } from '@limpetwinch/core'
import { TokenBucketTeamLimiter } from '@limpetwinch/decisions'
import type { TeamLimits } from '@limpetwinch/decisions'

/** Admission of one request by the limits of its team. Only the first call of each function has an effect. */
export interface TeamAdmission {
  /** Records that the request has left the queue and runs. */
  start: () => void
  /** Records that the request has ended, and credits its unused tokens to the team. */
  finish: (unusedTokens: number) => void
}

/** Keeps one limiter for each team that has sent a request. */
export class TeamLimiters {
  private readonly limiters = new Map<TeamId, { limiter: TokenBucketTeamLimiter, limits: TeamLimits, instances: number }>()
  private readonly clock: Clock
  private readonly instances: () => number

  /**
   * @param clock - the source of the current time
   * @param instances - returns the number of live instances. Each instance enforces an equal share of a team's limits, because
   *   the load balancer spreads the requests of a team over all instances
   */
  constructor (clock: Clock, instances: () => number) {
    this.clock = clock
    this.instances = instances
  }

  /** @returns the admission of one request, or the error `rate-limited` with the time in seconds after which to retry */
  admit (team: TeamId, settings: OperatorSettings, promptTokens: number, maximumTokens: number): Result<TeamAdmission, LimpetwinchError> {
    const limiter = this.limiterOf(team, settings)
    const decision = limiter.admit(promptTokens, maximumTokens, this.clock.now())
    if (!decision.admitted) {
      return err(new LimpetwinchError('rate-limited', { limit: decision.limit }, { retryAfterSeconds: decision.retryAfterSeconds }))
    }
    let running = false
    let finished = false
    return ok({
      start: () => {
        if (!running) limiter.start()
        running = true
      },
      finish: (unusedTokens) => {
        if (!finished) limiter.finish(running, unusedTokens, this.clock.now())
        finished = true
      }
    })
  }

  private limiterOf (team: TeamId, settings: OperatorSettings): TokenBucketTeamLimiter {
    const limits = settings.teams.get(team)?.limits ?? { requestsPerSecond: 1, tokensPerSecond: 1, inFlight: 1, queued: 1 }
    const instances = Math.max(1, this.instances())
    const present = this.limiters.get(team)
    if (present !== undefined && present.limits === limits && present.instances === instances) return present.limiter
    const share = shareOfInstance(limits, instances)
    const limiter = present?.limiter ?? new TokenBucketTeamLimiter({ limits: share })
    limiter.configure(share)
    this.limiters.set(team, { limiter, limits, instances })
    return limiter
  }
}

function shareOfInstance (limits: TeamLimits, instances: number): TeamLimits {
  return {
    requestsPerSecond: limits.requestsPerSecond / instances,
    tokensPerSecond: limits.tokensPerSecond / instances,
    inFlight: Math.max(1, Math.ceil(limits.inFlight / instances)),
    queued: Math.max(1, Math.ceil(limits.queued / instances))
  }
}
