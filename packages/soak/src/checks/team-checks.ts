/** Checks of keys and quotas, from what the servers ran. */
import type { StandInRun } from '@limpetwinch/platform'
import { PLAIN_TOKENS, QUOTA_TOKENS_PER_SECOND, QUOTA_TOLERANCE, QUOTA_WINDOW_MILLISECONDS, REVOCATION_MILLISECONDS } from '../soak-teams.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

function runsOf ({ deployment }: SoakEvidence): StandInRun[] {
  return [...deployment.engines, ...deployment.webServers].flatMap(({ runs }) => runs)
}

/** Checks that no request runs that was sent later than the limit after its key was taken away. */
export class RevokedKeyCheck extends SoakCheck {
  override readonly promise = 'revoked-key'

  override violations (evidence: SoakEvidence): Violation[] {
    const ran = new Set(runsOf(evidence).map(({ request }) => request))
    const revokedAt = new Map(evidence.record.revocations.map(({ key, at }) => [key, at]))
    return evidence.record.requests.flatMap((observed) => {
      const at = revokedAt.get(observed.request.key ?? '')
      if (at === undefined || observed.sentAt <= at + REVOCATION_MILLISECONDS || !ran.has(observed.request.id)) return []
      return [this.violationOf(observed, `${observed.request.id} ran, sent ${observed.sentAt - at} ms after its key was taken away`)]
    })
  }
}

/** Checks that each run is named its team, and that no key reaches a server. */
export class TeamOfRunCheck extends SoakCheck {
  override readonly promise = 'team-of-run'

  override violations (evidence: SoakEvidence): Violation[] {
    const { record, teams } = evidence
    if (teams === undefined) return []
    const keys = new Map([...record.requests, ...record.probes].map(({ request }) => [request.id, request.key ?? '']))
    return runsOf(evidence)
      .filter((run) => run.hasKey || run.team !== teams.teamOf(keys.get(run.request) ?? ''))
      .map(({ request, at, team, hasKey }) => ({ message: `${request} ran as ${team}${hasKey ? ' and with its key' : ''}`, from: at, to: at, request }))
  }
}

/** Checks that the team that floods uses no more than its quota in any window, over all instances. */
export class QuotaCheck extends SoakCheck {
  override readonly promise = 'quota'

  override violations (evidence: SoakEvidence): Violation[] {
    const { record, teams } = evidence
    if (teams === undefined) return []
    const flooding = new Set(record.requests.filter(({ request }) => request.key === teams.floodingKey).map(({ request }) => request.id))
    const firstRuns = new Map<string, number>()
    for (const { request, at } of runsOf(evidence)) if (flooding.has(request)) firstRuns.set(request, Math.min(at, firstRuns.get(request) ?? Infinity))
    const times = [...firstRuns.values()].sort((one, other) => one - other)
    const bound = QUOTA_TOKENS_PER_SECOND * (QUOTA_WINDOW_MILLISECONDS / 1_000 + 1) * (1 + QUOTA_TOLERANCE)
    const most = times.map((from) => ({ from, tokens: PLAIN_TOKENS * times.filter((at) => at >= from && at < from + QUOTA_WINDOW_MILLISECONDS).length }))
    return most
      .filter(({ tokens }) => tokens > bound)
      .slice(0, 1)
      .map(({ from, tokens }) => ({ message: `${tokens} tokens ran in one window, ${bound} are allowed`, from, to: from + QUOTA_WINDOW_MILLISECONDS }))
  }
}
