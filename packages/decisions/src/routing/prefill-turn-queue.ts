/**
 * Decides when the long prompts for one engine may be sent to it. While an engine reads (prefills) prompts, all its streams pause. Prompts that
 * arrive together are read together, and their pauses add up. The queue lets so many be read at once that the sum stays within the pause that
 * callers accept; the others wait for their turn, as long as they can still be on time.
 */

/**
 * Largest share of the accepted pause that the prompts being read at once may take. The rest is left to prompts too short to wait for a turn, and
 * to the steps that produce the next event.
 */
const READING_SHARE = 0.9
/** Multiple of the expected reading time after which a turn expires whose end was not reported. */
const EXPIRY_FACTOR = 2
/** Added to that time for the first event and the report of it. */
const EXPIRY_MILLISECONDS = 500

/** A prompt that is to be sent to the engine. */
export interface PrefillTurnRequest {
  /** Unique among the prompts of the engine. */
  readonly id: string
  /** Tokens that the engine has to read. */
  readonly tokens: number
  /** Priority of the request, 0 being the most urgent. */
  readonly priority: number
  /** Monotonic time until which the prompt may wait and be on time. */
  readonly onTimeUntil: number
}

/** What the decisions depend on besides the prompts. */
export interface PrefillLimits {
  /** The shortest pause that callers of streams on the engine accept. */
  readonly pauseMilliseconds: number
  /** @returns the time in which the engine reads a number of tokens */
  readonly prefillMilliseconds: (tokens: number) => number
}

/**
 * Why a turn was granted.
 *
 * - `idle`: the engine reads no other prompt with a turn
 * - `fits`: it is read together with others within the accepted pause
 * - `due`: it can wait no longer
 */
export type PrefillGrantReason = 'idle' | 'fits' | 'due'

/** A granted turn. */
export interface PrefillGrant {
  readonly id: string
  readonly reason: PrefillGrantReason
  readonly waitedMilliseconds: number
}

/** The state of the queue, for operators. */
export interface PrefillTurnView {
  readonly waiting: number
  readonly waitingTokens: number
  readonly reading: number
  readonly readingTokens: number
}

interface WaitingPrompt extends PrefillTurnRequest {
  readonly askedAt: number
  /** Whether the prompt could still be on time when it was asked for. */
  readonly isOnTime: boolean
  /** Monotonic time at which the prompt is sent whatever is being read. */
  readonly goesAt: number
}

interface ReadPrompt {
  readonly tokens: number
  readonly expiresAt: number
}

/** The prompts of one engine that wait for their turn or are being read. */
export class PrefillTurnQueue {
  private waiting: WaitingPrompt[] = []
  private readonly reading = new Map<string, ReadPrompt>()

  /**
   * Adds a prompt. One that can no longer be on time lets the others of its priority pass, and waits at most as long as the accepted pause, so
   * that it is not starved.
   */
  ask (request: PrefillTurnRequest, { pauseMilliseconds }: PrefillLimits, now: number): void {
    const isOnTime = request.onTimeUntil >= now
    const goesAt = isOnTime ? request.onTimeUntil : now + pauseMilliseconds
    this.waiting.push({ ...request, askedAt: now, isOnTime, goesAt })
    this.waiting.sort(byUrgency)
  }

  /** Ends a turn, or withdraws a prompt that still waits. */
  end (id: string): void {
    this.waiting = this.waiting.filter((prompt) => prompt.id !== id)
    this.reading.delete(id)
  }

  /** Grants the turns that are possible now; called after each change and at {@link nextChangeAt}. */
  grant (limits: PrefillLimits, now: number): PrefillGrant[] {
    const grants = this.waiting.filter(({ goesAt }) => goesAt <= now).map((prompt) => this.begin(prompt, 'due', limits, now))
    for (;;) {
      const first = this.waiting[0]
      if (first === undefined) return grants
      const reason = this.reasonToGrant(first, limits)
      if (reason === undefined) return grants
      grants.push(this.begin(first, reason, limits, now))
    }
  }

  /** Ends the turns whose end was not reported in time. @returns their ids */
  expire (now: number): string[] {
    const expired = [...this.reading].filter(([, { expiresAt }]) => expiresAt <= now).map(([id]) => id)
    for (const id of expired) this.reading.delete(id)
    return expired
  }

  /** Monotonic time at which a prompt becomes due or a turn expires; undefined while there is neither. */
  get nextChangeAt (): number | undefined {
    const times = [...this.waiting.map(({ goesAt }) => goesAt), ...[...this.reading.values()].map(({ expiresAt }) => expiresAt)]
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** The present state. */
  get view (): PrefillTurnView {
    return {
      waiting: this.waiting.length,
      waitingTokens: this.waiting.reduce((sum, { tokens }) => sum + tokens, 0),
      reading: this.reading.size,
      readingTokens: this.readingTokens
    }
  }

  private get readingTokens (): number {
    return [...this.reading.values()].reduce((sum, { tokens }) => sum + tokens, 0)
  }

  private reasonToGrant ({ tokens }: WaitingPrompt, { pauseMilliseconds, prefillMilliseconds }: PrefillLimits): PrefillGrantReason | undefined {
    if (this.reading.size === 0) return 'idle'
    return prefillMilliseconds(this.readingTokens + tokens) <= pauseMilliseconds * READING_SHARE ? 'fits' : undefined
  }

  private begin (prompt: WaitingPrompt, reason: PrefillGrantReason, { prefillMilliseconds }: PrefillLimits, now: number): PrefillGrant {
    const { id, tokens, askedAt } = prompt
    this.waiting = this.waiting.filter((other) => other !== prompt)
    const expiresAt = now + EXPIRY_FACTOR * prefillMilliseconds(this.readingTokens + tokens) + EXPIRY_MILLISECONDS
    this.reading.set(id, { tokens, expiresAt })
    return { id, reason, waitedMilliseconds: now - askedAt }
  }
}

/** Orders by priority, then those on time before the late ones, then by the time at which they must go. */
function byUrgency (one: WaitingPrompt, other: WaitingPrompt): number {
  return one.priority - other.priority || Number(other.isOnTime) - Number(one.isOnTime) || one.goesAt - other.goesAt
}
