/** Decides whether a request may run: finds its team by its key, checks that the key is still valid, and takes its tokens from the quota. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, TeamId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import type { ConfigurationProof } from '../cluster-state/configuration-proof.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { RelayOutcome } from '../relay/relay-outcome.js'
import type { RequestFacts } from '../relay/request-codec.js'
import type { Route, Team, TeamQuota } from '../routes/configuration.js'
import type { QuotaClient } from '../quotas/quota-client.js'

/** `retry-after` of a request whose key cannot be checked, in seconds: the next proof arrives within about this time if the store answers. */
const UNPROVED_RETRY_SECONDS = 1
/** Part of the time that a request has left, for which it waits for its tokens. */
const QUOTA_WAIT_SHARE = 0.4

/** The part of a request that the admission depends on. */
export interface AdmissionRequest {
  readonly facts: RequestFacts
  readonly route: Route
  /** Monotonic time at which the caller gives up. */
  readonly endsAt: number
}

/** An admitted request. */
export interface Admission {
  /** Undefined for a request that belongs to no team. */
  readonly team: Team | undefined
  /** Must be called when the request has ended; a request that did not run gets its tokens back. */
  readonly ended: (outcome: RelayOutcome) => void
}

/** What the admission needs of the instance. */
export interface TeamAdmissionDependencies {
  readonly clock: Clock
  readonly configuration: AcceptedConfiguration
  readonly proof: ConfigurationProof
  /** Time after which a key that was taken away opens nothing, in milliseconds; undefined if keys stay valid without a proof. */
  readonly revocationMilliseconds: number | undefined
  readonly quotas: QuotaClient<TeamId>
  readonly metrics: IngressMetrics
}

/** Admits requests by the teams in the configuration in force. */
export class TeamAdmission {
  private readonly parts: TeamAdmissionDependencies

  constructor (parts: TeamAdmissionDependencies) {
    this.parts = parts
  }

  /** Time for which a proof of the configuration is valid, in milliseconds; undefined while no request needs one. */
  get proofLimitMilliseconds (): number | undefined {
    const hasTeams = (this.parts.configuration.current?.configuration.teams.length ?? 0) > 0
    return hasTeams ? this.parts.revocationMilliseconds : undefined
  }

  /** Whether the configuration is proved to be up to date, or need not be. */
  get isProved (): boolean {
    const limit = this.proofLimitMilliseconds
    return limit === undefined || this.parts.proof.ageMilliseconds() < limit
  }

  /** Checks a request that has been read completely. */
  async admit (request: AdmissionRequest): Promise<Result<Admission, LimpetwinchError>> {
    const team = this.findTeam(request)
    if (team.isErr()) return err(team.error)
    if (team.value?.quota === undefined) return ok({ team: team.value, ended: () => {} })
    return await this.takeTokens(team.value, team.value.quota, request)
  }

  private findTeam ({ facts, route }: AdmissionRequest): Result<Team | undefined, LimpetwinchError> {
    const current = this.parts.configuration.current
    if (current === undefined || current.configuration.teams.length === 0) return ok(undefined)
    const { isProved } = this
    const team = facts.key === undefined ? undefined : current.teamsByKey.get(facts.key)
    if (route.public) return ok(isProved ? team : undefined)
    // Without a proof, an unknown key may be one that was added a moment ago.
    if (!isProved) return err(new LimpetwinchError('key-not-proved', {}, { retryAfterSeconds: UNPROVED_RETRY_SECONDS }))
    return team === undefined ? err(new LimpetwinchError('unknown-key')) : ok(team)
  }

  private async takeTokens (team: Team, quota: TeamQuota, { facts, endsAt }: AdmissionRequest): Promise<Result<Admission, LimpetwinchError>> {
    const { clock, quotas, metrics } = this.parts
    const cost = costOf(quota, facts)
    const taken = await quotas.take(team.name, quota, { cost }, (endsAt - clock.now()) * QUOTA_WAIT_SHARE)
    metrics.quotaDecided(team.name, taken.isOk() ? 'admitted' : taken.error.kind, cost)
    if (taken.isErr()) return err(taken.error)
    const ended = (outcome: RelayOutcome): void => {
      if (!hasNotRun(outcome)) return
      quotas.giveBack(team.name, cost)
      metrics.quotaDecided(team.name, 'given-back', cost)
    }
    return ok({ team, ended })
  }
}

function hasNotRun ({ outcome, error, tries }: RelayOutcome): boolean {
  return outcome === 'caller-left' ? tries === 0 : outcome === 'refused' && error?.outcome === 'not_run'
}

function costOf (quota: TeamQuota, facts: RequestFacts): number {
  if (quota.unit === 'requests') return 1
  return facts.tokens === 'stated' ? facts.promptTokens + facts.outputTokens : quota.tokensWhenUnstated
}
