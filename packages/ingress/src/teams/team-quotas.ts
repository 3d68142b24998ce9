/** The quotas of teams: their frames and errors, and how many tokens of a quota may be handed out. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { FrameOf, TeamId } from '@limpetwinch/core'
import type { QuotaRate } from '@limpetwinch/decisions'
import { QuotaKind } from '../quotas/quota-kind.js'
import type { NumberedAnswer, NumberedAsk } from '../quotas/quota-kind.js'
import type { TeamQuota } from '../routes/configuration.js'
import type { QuotaSettings } from '../runtime/ingress-settings.js'

/** Part of the tolerance that is used for tokens held ahead. The rest is for single large requests and for changes of the owner. */
const USED_TOLERANCE = 0.25
/** Time for which requests are refused without an ask after a refusal, at most, in milliseconds. */
const LONGEST_REFUSAL_MILLISECONDS = 100
/** `retry-after` of a request for which no owner answered, in seconds: another owner is chosen within this time. */
const UNAVAILABLE_RETRY_SECONDS = 0.5

/** Implements {@link QuotaKind} for teams. */
export class TeamQuotas extends QuotaKind<TeamId> {
  override readonly holdsAhead = true
  override readonly firstLevel = 0

  override longestRefusalMilliseconds (): number {
    return LONGEST_REFUSAL_MILLISECONDS
  }

  override askFrame (team: TeamId, { number, held, returned, needs, wanted }: NumberedAsk): FrameOf<'quota-ask'> {
    return { kind: 'quota-ask', team, number, held, returned, needs, wanted }
  }

  override answerFrame (team: TeamId, answer: NumberedAnswer): FrameOf<'quota-answer'> {
    return { kind: 'quota-answer', team, ...answer }
  }

  override exceeded (team: TeamId, milliseconds: number): LimpetwinchError {
    return new LimpetwinchError('over-quota', { team }, { retryAfterSeconds: Math.ceil(milliseconds) / 1_000 })
  }

  override unavailable (team: TeamId): LimpetwinchError {
    return new LimpetwinchError('quota-unavailable', { team }, { retryAfterSeconds: UNAVAILABLE_RETRY_SECONDS })
  }
}

/** @returns the part of a quota that one owner may hand out when it reaches this part of all registered instances */
export function rateOfTeam (quota: TeamQuota, settings: QuotaSettings, reachableShare: number): QuotaRate {
  return { tokensPerSecond: quota.ratePerSecond * reachableShare, capacity: capacityOf(quota, settings) * reachableShare }
}

/** @returns most units of a quota that may be available or held at one time, over all instances */
export function capacityOf (quota: TeamQuota, settings: QuotaSettings): number {
  const inWindow = quota.ratePerSecond * settings.windowMilliseconds / 1_000 + quota.burst
  return quota.burst + USED_TOLERANCE * (settings.toleranceShare * inWindow + settings.toleranceUnits)
}
