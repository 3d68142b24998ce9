/** Takes the tokens of requests from quotas: uses tokens that this instance holds, and asks the quota owner for more. */
import type { Clock, InstanceId, LimpetwinchError } from '@limpetwinch/core'
import { QuotaHolding } from '@limpetwinch/decisions'
import type { NoticeFrame } from '@limpetwinch/entry'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { NumberedAnswer, NumberedAsk, QuotaKind } from './quota-kind.js'
import type { QuotaOwners } from './quota-owners.js'

/** Time after which an ask without an answer is sent again, in milliseconds; its owner may have ended. */
const ANSWER_MILLISECONDS = 200
/** Delay before the next ask, when the asked instance was not the owner: the two instances learn of a change at different times. */
const NOT_OWNER_PAUSE_MILLISECONDS = 50

/** The part of a quota that the holdings depend on. */
export interface HeldQuota {
  readonly ratePerSecond: number
}

/** What one request takes from a quota. */
export interface QuotaNeed {
  readonly cost: number
  /** Part of the capacity that must be available beyond 0, so that less is left to less urgent requests; 0 by default. */
  readonly floor?: number
}

/** What the client needs of the instance. */
export interface QuotaClientDependencies<Subject extends string> {
  readonly clock: Clock
  readonly kind: QuotaKind<Subject>
  readonly owners: QuotaOwners
  readonly notify: (to: InstanceId, frame: NoticeFrame) => void
}

interface WaitingRequest {
  readonly cost: number
  readonly floor: number
  readonly settle: (result: Result<void, LimpetwinchError>) => void
}

interface OpenAsk {
  readonly number: number
  readonly requests: readonly WaitingRequest[]
  /** Aborted when the answer arrives. */
  readonly answered: AbortController
}

/** The tokens of one subject at this instance, and the requests that wait for tokens. */
class Account {
  readonly holding = new QuotaHolding()
  quota: HeldQuota
  waiting: WaitingRequest[] = []
  ask: OpenAsk | undefined
  /** Monotonic time until which requests with at least `refusedFloor` are refused without an ask. */
  refusedUntil = -Infinity
  refusedFloor = 0
  /** Monotonic time at which the quota owner expected the last refused request to fit. */
  fitsAt = -Infinity
  /** Use of the quota over all instances, as the quota owner said last. */
  usedShare: number | undefined

  constructor (quota: HeldQuota) {
    this.quota = quota
  }
}

/** Holds tokens of each active subject and asks the quota owners for more. */
export class QuotaClient<Subject extends string> {
  private readonly parts: QuotaClientDependencies<Subject>
  private readonly accounts = new Map<Subject, Account>()
  private asks = 0

  constructor (parts: QuotaClientDependencies<Subject>) {
    this.parts = parts
  }

  /** Number of subjects of which this instance holds or wants tokens. */
  get activeSubjects (): number {
    return this.accounts.size
  }

  /**
   * Takes the tokens of one request.
   *
   * @param subject - what the quota belongs to
   * @param quota - the quota in force
   * @param need - what the request takes
   * @param milliseconds - longest time to wait for an answer
   * @returns an error of the kind of quota: that the need does not fit yet, with the time until it does, or that no owner answered
   */
  async take (subject: Subject, quota: HeldQuota, { cost, floor = 0 }: QuotaNeed, milliseconds: number): Promise<Result<void, LimpetwinchError>> {
    const now = this.parts.clock.now()
    const account = this.accountOf(subject, quota)
    account.holding.recordDemand(cost, now)
    if (account.holding.tryTake(cost)) {
      if (account.ask === undefined && this.wanted(account, now) > 0 && now >= account.refusedUntil) this.sendAsk(subject, account)
      return ok(undefined)
    }
    if (now < account.refusedUntil && floor >= account.refusedFloor) return err(this.parts.kind.exceeded(subject, account.fitsAt - now))
    return await this.waitForTokens(subject, account, { cost, floor }, milliseconds)
  }

  /** @returns tokens of the subject that were used in the last seconds over all instances, divided by those of its quota; undefined if it is not known */
  usedShare (subject: Subject): number | undefined {
    return this.accounts.get(subject)?.usedShare
  }

  /** Returns the tokens of a request that did not run. */
  giveBack (subject: Subject, cost: number): void {
    this.accounts.get(subject)?.holding.add(cost)
  }

  /** Handles the answer of a quota owner. An answer to an earlier ask is ignored: its tokens count as not granted. */
  handleAnswer (subject: Subject, answer: NumberedAnswer): void {
    const account = this.accounts.get(subject)
    if (account?.ask?.number !== answer.number) return
    const { requests, answered } = account.ask
    answered.abort()
    account.ask = undefined
    if (answer.notOwner) return this.askLater(subject, account)
    account.usedShare = answer.usedShare ?? account.usedShare
    account.holding.add(answer.extra)
    for (const [index, request] of requests.entries()) this.settleAnswered(subject, account, request, answer, index)
    if (account.waiting.length > 0) this.sendAsk(subject, account)
  }

  /** Gives back tokens of subjects whose requests have become fewer, and forgets subjects without requests. */
  releaseIdle (): void {
    const now = this.parts.clock.now()
    for (const [subject, account] of this.accounts) {
      if (account.ask !== undefined) continue
      const returned = account.holding.takeSurplus(now)
      if (returned > 0) this.sendAsk(subject, account, returned)
      else if (account.holding.isIdle(now) && account.waiting.length === 0) this.accounts.delete(subject)
    }
  }

  /** Gives all tokens back, when this instance stops. */
  releaseAll (): void {
    for (const [subject, { holding }] of this.accounts) {
      if (holding.balance > 0) this.notifyOwner(subject, { number: 0, held: 0, returned: holding.balance, needs: [], wanted: 0 })
      holding.reduceTo(0)
    }
  }

  private async waitForTokens (subject: Subject, account: Account, need: Required<QuotaNeed>, milliseconds: number): Promise<Result<void, LimpetwinchError>> {
    return await new Promise((resolve) => {
      const settled = new AbortController()
      const settle = (result: Result<void, LimpetwinchError>): void => {
        settled.abort()
        account.waiting = account.waiting.filter((request) => request !== waiting)
        resolve(result)
      }
      const waiting: WaitingRequest = { ...need, settle }
      account.waiting.push(waiting)
      if (account.ask === undefined) this.sendAsk(subject, account)
      this.after(milliseconds, settled.signal, () => settle(err(this.parts.kind.unavailable(subject))))
    })
  }

  /** Calls a function after some time unless the signal is aborted before. */
  private after (milliseconds: number, signal: AbortSignal | undefined, action: () => void): void {
    void this.parts.clock.sleep(milliseconds, signal).then(() => { if (signal?.aborted !== true) action() })
  }

  private accountOf (subject: Subject, quota: HeldQuota): Account {
    const account = this.accounts.get(subject)
    if (account === undefined) {
      const opened = new Account(quota)
      this.accounts.set(subject, opened)
      return opened
    }
    if (account.quota !== quota) {
      // Tokens that were granted under a higher limit must not be used in full after it was lowered.
      account.holding.reduceTo(quota.ratePerSecond / account.quota.ratePerSecond)
      account.quota = quota
    }
    return account
  }

  private settleAnswered (subject: Subject, account: Account, request: WaitingRequest, answer: NumberedAnswer, index: number): void {
    const isWaiting = account.waiting.includes(request)
    if (answer.granted[index] === true) {
      if (isWaiting) request.settle(ok(undefined))
      else if (this.parts.kind.holdsAhead) account.holding.add(request.cost)
      return
    }
    const { clock, kind } = this.parts
    const now = clock.now()
    // A refusal says nothing about more urgent requests, for which a lower level is enough.
    account.refusedFloor = now < account.refusedUntil ? Math.min(account.refusedFloor, request.floor) : request.floor
    account.fitsAt = now + answer.milliseconds
    account.refusedUntil = now + Math.min(answer.milliseconds, kind.longestRefusalMilliseconds())
    if (isWaiting) request.settle(err(kind.exceeded(subject, answer.milliseconds)))
  }

  private askLater (subject: Subject, account: Account): void {
    this.after(NOT_OWNER_PAUSE_MILLISECONDS, undefined, () => { if (account.ask === undefined && account.waiting.length > 0) this.sendAsk(subject, account) })
  }

  private sendAsk (subject: Subject, account: Account, returned = 0): void {
    const { holding, waiting } = account
    this.asks += 1
    const number = this.asks
    const answered = new AbortController()
    account.ask = { number, requests: [...waiting], answered }
    this.after(ANSWER_MILLISECONDS, answered.signal, () => this.handleSilence(subject, account, number))
    this.notifyOwner(subject, {
      number,
      held: holding.balance,
      returned,
      needs: waiting.map(({ cost }) => cost),
      floors: waiting.map(({ floor }) => floor),
      wanted: this.wanted(account, this.parts.clock.now())
    })
  }

  private wanted ({ holding }: Account, now: number): number {
    return this.parts.kind.holdsAhead ? holding.wanted(now) : 0
  }

  private handleSilence (subject: Subject, account: Account, number: number): void {
    if (account.ask?.number !== number) return
    account.ask = undefined
    if (account.waiting.length > 0) this.sendAsk(subject, account)
  }

  private notifyOwner (subject: Subject, ask: NumberedAsk): void {
    this.parts.notify(this.parts.owners.ownerOf(subject), this.parts.kind.askFrame(subject, ask))
  }
}
