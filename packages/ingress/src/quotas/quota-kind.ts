/** What the quotas of one kind of subject have of their own. A subject is what a quota belongs to: a team, or an endpoint that names a rate limit. */
import type { LimpetwinchError } from '@limpetwinch/core'
import type { QuotaAsk, QuotaGrant } from '@limpetwinch/decisions'
import type { NoticeFrame } from '@limpetwinch/entry'

/** An ask with its number among those of its sender for one subject; the sender ignores answers to earlier asks. */
export interface NumberedAsk extends QuotaAsk {
  readonly number: number
}

/** The answer to an ask. */
export interface NumberedAnswer extends QuotaGrant {
  readonly number: number
  /** Whether the answering instance is not the quota owner of the subject; it granted nothing then. */
  readonly notOwner: boolean
  /** Tokens used in the last seconds over all instances, divided by those of the quota; undefined if it is not known. */
  readonly usedShare?: number | undefined
}

/** The frames, errors and times of the quotas of one kind. */
export abstract class QuotaKind<Subject extends string> {
  /** Whether instances hold tokens for coming requests. All instances may use the tokens that they hold at the same moment. */
  abstract readonly holdsAhead: boolean

  /** Tokens that are available when an instance becomes the quota owner of a subject. */
  abstract readonly firstLevel: number

  /** @returns time for which needs are refused without an ask after a refusal, at most, in milliseconds */
  abstract longestRefusalMilliseconds (): number

  abstract askFrame (subject: Subject, ask: NumberedAsk): NoticeFrame

  abstract answerFrame (subject: Subject, answer: NumberedAnswer): NoticeFrame

  /** @returns the error of a need that does not fit before some time has passed */
  abstract exceeded (subject: Subject, milliseconds: number): LimpetwinchError

  /** @returns the error of a need for which no quota owner answered */
  abstract unavailable (subject: Subject): LimpetwinchError
}
