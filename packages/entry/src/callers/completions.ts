/** Serves completion requests, from reading the headers to writing the last byte of the response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { randomInt } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { adapterOf, formatAdapter, LimpetwinchError, newRequestId, parseModelName, priorityOf } from '@limpetwinch/core'
import type { AdapterReference, Clock, OperatorSettings, RequestId } from '@limpetwinch/core'
import type { Delivery, DeliveryRequest } from '../delivery/delivery.js'
import type { CountedOutcome, Metrics, MetricSeries } from '../metrics/metrics.js'
import type { IdempotencyClaims, HeldClaim } from '../outcomes/idempotency-claims.js'
import type { Authentication, CallerTeams } from './authentication.js'
import { parseJson, readBody } from './body-reader.js'
import type { BodyLimits } from './body-reader.js'
import { abortOnDisconnect } from './caller-disconnect.js'
import { StreamedCompletionResponse, JsonCompletionResponse } from './completion-response.js'
import type { CompletionResponse } from './completion-response.js'
import { parseCompletion } from './completion-request.js'
import type { CompletionForm, CompletionRequest } from './completion-request.js'
import { errorBody, errorHeaders } from './error-response.js'
import { parseRequestOptions } from './request-options.js'
import type { RequestOptions } from './request-options.js'
import type { TeamAdmission, TeamLimiters } from './team-limiters.js'

/** Dependencies of completion serving. */
export interface CompletionsOptions {
  readonly settings: () => OperatorSettings | undefined
  readonly authentication: Authentication
  readonly teamLimiters: TeamLimiters
  readonly claims: IdempotencyClaims
  readonly delivery: Delivery
  readonly measures: Metrics
  readonly bodyLimits: BodyLimits
  readonly clock: Clock
}

/** A request that has passed authentication and validation and can be delivered to an engine. */
interface AcceptedRequest {
  readonly settings: OperatorSettings
  readonly reference: AdapterReference
  readonly completion: CompletionRequest
  readonly options: RequestOptions
  readonly delivery: DeliveryRequest
}

/** Exclusive upper bound of seeds that are chosen for requests without a seed. */
const SEED_UPPER_BOUND = 2 ** 31

/** Serves chat and text completions over HTTP. */
export class Completions {
  private readonly options: CompletionsOptions

  /** @param options - the dependencies of completion serving */
  constructor (options: CompletionsOptions) {
    this.options = options
  }

  /** Serves one request. Resolves when the response has ended. */
  async serve (form: CompletionForm, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = newRequestId()
    const accepted = await this.accept(form, message, requestId)
    if (accepted.isErr()) return sendErrorResponse(response, accepted.error, requestId)
    const { reference, settings, completion, options } = accepted.value
    const admission = this.options.teamLimiters.admit(reference.team, settings, completion.promptTokens, completion.maximumTokens)
    if (admission.isErr()) {
      this.options.measures.series(reference.team, options.priorityClass).outcome('not_run')
      return sendErrorResponse(response, admission.error, requestId)
    }
    try {
      await this.claimAndDeliver(accepted.value, admission.value, response)
    } finally {
      admission.value.finish(0)
    }
  }

  private async accept (form: CompletionForm, message: IncomingMessage, requestId: RequestId): Promise<Result<AcceptedRequest, LimpetwinchError>> {
    const settings = this.options.settings()
    if (settings === undefined) return err(new LimpetwinchError('store-unavailable', { reason: 'no settings yet' }, { retryAfterSeconds: 1 }))
    const caller = this.options.authentication.check(message.headers.authorization, settings)
    if (caller.isErr()) return err(caller.error)
    const body = await readBody(message, this.options.bodyLimits)
    const maximumPatience = 1000 * settings.policy.longestRequestSeconds
    return body
      .andThen(parseJson)
      .andThen((value) => parseCompletion(form, value))
      .andThen((completion) => resolveAdapter(completion, caller.value, settings)
        .andThen((reference) => parseRequestOptions(headerReader(message), maximumPatience, true)
          .andThen((options) => this.prepare(requestId, settings, reference, completion, options))))
  }

  private prepare (
    requestId: RequestId,
    settings: OperatorSettings,
    reference: AdapterReference,
    completion: CompletionRequest,
    options: RequestOptions
  ): Result<AcceptedRequest, LimpetwinchError> {
    const team = settings.teams.get(reference.team)
    const priority = priorityOf(settings, reference.team, options.priorityClass)
    const adapter = team === undefined ? undefined : adapterOf(team, reference.adapter)
    if (priority === undefined || adapter === undefined) {
      const reason = `the team has no class '${options.priorityClass.slice(0, 80)}'`
      return err(new LimpetwinchError('invalid-request', { where: 'x-limpetwinch-class', reason }))
    }
    const delivery: DeliveryRequest = {
      requestId,
      adapter: reference,
      adapterName: formatAdapter(reference),
      baseModel: adapter.baseModel,
      priority,
      prompt: completion.prompt,
      promptTokens: completion.promptTokens,
      maximumTokens: completion.maximumTokens,
      temperature: completion.temperature,
      // A retried run must produce the same text, so all runs of a request use the same seed.
      seed: completion.seed ?? randomInt(SEED_UPPER_BOUND),
      idempotent: options.idempotent,
      deadlineAt: this.options.clock.now() + options.patience
    }
    return ok({ settings, reference, completion, options, delivery })
  }

  private async claimAndDeliver (accepted: AcceptedRequest, admission: TeamAdmission, response: ServerResponse): Promise<void> {
    const { options, reference, delivery } = accepted
    if (options.idempotent || options.key === undefined) {
      await this.deliver(accepted, admission, response)
      return
    }
    const claim = await this.options.claims.claim(reference.team, options.key, delivery.requestId)
    if (claim.isErr()) {
      this.options.measures.series(reference.team, options.priorityClass).outcome(claim.error.outcome)
      return sendErrorResponse(response, claim.error, delivery.requestId)
    }
    const outcome = await this.deliver(accepted, admission, response)
    await this.settleClaim(claim.value, outcome)
  }

  private async settleClaim (claim: HeldClaim, outcome: CountedOutcome): Promise<void> {
    if (outcome === 'not_run') await this.options.claims.release(claim)
    if (outcome === 'answered') await this.options.claims.answered(claim)
  }

  private async deliver (accepted: AcceptedRequest, admission: TeamAdmission, response: ServerResponse): Promise<CountedOutcome> {
    const { reference, completion, delivery, options, settings } = accepted
    const completionResponse = createResponse(response, completion, reference, delivery.requestId)
    const cancellation = abortOnDisconnect(response)
    const meter = new RequestMeter(this.options.measures.series(reference.team, options.priorityClass), this.options.clock)
    for await (const event of this.options.delivery.deliver(delivery, settings, cancellation.signal)) {
      if (event.kind === 'text') {
        meter.token()
        await completionResponse.text(event.text)
      } else if (event.kind === 'admitted') {
        admission.start()
        meter.admitted(event.loadStall, event.queueWait)
      } else if (event.kind === 'end') {
        admission.finish(Math.max(0, completion.maximumTokens - event.outputTokens))
        completionResponse.end(event)
        return meter.recordEnd('answered')
      } else {
        admission.finish(event.error.outcome === 'not_run' ? completion.maximumTokens : 0)
        completionResponse.endWithError(event.error)
        return meter.recordEnd(event.error.outcome)
      }
    }
    return meter.recordEnd('unknown')
  }
}

/** Records the metrics of one request. */
class RequestMeter {
  private readonly startedAt: number
  private lastTokenAt: number | undefined

  constructor (private readonly series: MetricSeries, private readonly clock: Clock) {
    this.startedAt = clock.now()
  }

  admitted (loadStall: number, queueWait: number): void {
    this.series.recordTime('load_stall', loadStall)
    this.series.recordTime('queue_wait', queueWait)
  }

  token (): void {
    const now = this.clock.now()
    if (this.lastTokenAt === undefined) this.series.recordTime('first_token', now - this.startedAt)
    else this.series.recordTime('between_tokens', now - this.lastTokenAt)
    this.lastTokenAt = now
  }

  recordEnd (outcome: CountedOutcome): CountedOutcome {
    this.series.recordTime('whole', this.clock.now() - this.startedAt)
    this.series.outcome(outcome)
    return outcome
  }
}

/** Resolves the model name of a request to an adapter version. The version stays fixed for the rest of the request. */
function resolveAdapter (completion: CompletionRequest, caller: CallerTeams, settings: OperatorSettings): Result<AdapterReference, LimpetwinchError> {
  return parseModelName(completion.model).andThen((model): Result<AdapterReference, LimpetwinchError> => {
    const team = settings.teams.get(model.team)
    if (team === undefined) return err(new LimpetwinchError('unknown-team', { team: model.team }))
    if (!caller.has(model.team)) return err(new LimpetwinchError('forbidden', { what: `team '${model.team}'` }))
    const adapter = adapterOf(team, model.adapter)
    if (adapter === undefined) return err(new LimpetwinchError('unknown-adapter', { adapter: `${model.team}/${model.adapter}` }))
    const version = model.version ?? adapter.current
    if (!adapter.versions.includes(version)) {
      return err(new LimpetwinchError('unknown-version', { adapter: `${model.team}/${model.adapter}`, version }))
    }
    return ok({ team: model.team, adapter: model.adapter, version })
  })
}

function createResponse (response: ServerResponse, completion: CompletionRequest, reference: AdapterReference, requestId: RequestId): CompletionResponse {
  const identity = { requestId, ...reference }
  return completion.stream
    ? new StreamedCompletionResponse(response, completion.form, identity)
    : new JsonCompletionResponse(response, completion.form, identity)
}

/** @returns a function that returns the value of a header of the message, or its first value when there are several */
export function headerReader (message: IncomingMessage): (name: string) => string | undefined {
  return (name) => {
    const value = message.headers[name]
    return Array.isArray(value) ? value[0] : value
  }
}

/** Sends an error response, unless a response has begun already or the connection is closed. */
export function sendErrorResponse (response: ServerResponse, error: LimpetwinchError, requestId: RequestId): void {
  if (response.headersSent || response.destroyed) return
  // The connection is closed because the unread rest of the body would be parsed as the next request.
  const close = error.kind === 'body-too-large' || error.kind === 'body-timeout' ? { connection: 'close' } : {}
  response.writeHead(error.status, { ...errorHeaders(error, requestId), ...close })
  response.end(JSON.stringify(errorBody(error, requestId)))
}
