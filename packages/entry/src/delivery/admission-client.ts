/** Asks the owner of an endpoint for admission, and tells it when the request is done. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { AdapterReference, EndpointId, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import type { PeerNetwork, ReplyBody } from '../peers/peer-network.js'
import type { Route } from '../routing/router.js'
import type { AdmissionOutcome, Grant } from '../scheduling/admission.js'
import type { InFlightTable } from './in-flight-table.js'

/** Longer than the owner itself waits, so that its answer comes first. */
const ANSWER_GRACE_MILLISECONDS = 1_000

/** What is asked of an owner. */
export interface AdmissionRequest {
  readonly requestId: RequestId
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly patience: number
}

/** An admission that has to be given back. */
export class HeldAdmission {
  readonly grant: Grant
  private readonly owner: InstanceId
  readonly endpoint: EndpointId
  private readonly requestId: RequestId
  private readonly client: AdmissionClient

  /** @internal */
  constructor (client: AdmissionClient, owner: InstanceId, endpoint: EndpointId, requestId: RequestId, grant: Grant) {
    this.client = client
    this.owner = owner
    this.endpoint = endpoint
    this.requestId = requestId
    this.grant = grant
  }

  /** The name under which the engine holds the adapter. */
  get loadedName (): LoadedName | undefined {
    return this.grant.loadedName
  }

  /** Ends the admission. To be called when the engine certainly does not run the request any more. */
  done (outcome: AdmissionOutcome, outputTokens: number): void {
    this.client.notifyDone(this.owner, this.endpoint, this.requestId, outcome, outputTokens)
  }
}

/** Asks owners. */
export class AdmissionClient {
  private readonly network: PeerNetwork
  private readonly table: InFlightTable
  /** @returns the present owner of an endpoint; a request is done where the endpoint is owned by then */
  private readonly ownerOf: (endpoint: EndpointId) => InstanceId | undefined

  /**
   * @param network - frames between instances
   * @param table - what may be running, for new owners
   * @param ownerOf - the present owner, as far as known
   */
  constructor (network: PeerNetwork, table: InFlightTable, ownerOf: (endpoint: EndpointId) => InstanceId | undefined) {
    this.network = network
    this.table = table
    this.ownerOf = ownerOf
  }

  /**
   * @param route - the endpoint and its owner
   * @param request - what is to be admitted
   * @param signal - gives up
   * @returns the admission, or why nothing was run; asking runs nothing, so every error here has outcome `not_run`
   */
  async ask (route: Route, request: AdmissionRequest, signal: AbortSignal): Promise<Result<HeldAdmission, LimpetwinchError>> {
    const { endpoint } = route.engine
    const entry = this.table.enter(endpoint, request.requestId, request.team)
    const reply = await this.network.call(route.owner, { kind: 'admission-ask', endpoint, ...request }, request.patience + ANSWER_GRACE_MILLISECONDS, signal)
    const grant = reply.andThen((body) => this.read(body, endpoint))
    if (grant.isErr()) {
      this.notifyDone(route.owner, endpoint, request.requestId, 'withdrawn', 0)
      return err(new LimpetwinchError(grant.error.kind, grant.error.details, {
        outcome: 'not_run',
        cause: grant.error,
        ...(grant.error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: grant.error.retryAfterSeconds })
      }))
    }
    entry.loadedName = grant.value.loadedName
    return ok(new HeldAdmission(this, route.owner, endpoint, request.requestId, grant.value))
  }

  /** Takes the request out of the table and tells the owner, present and former. */
  notifyDone (owner: InstanceId, endpoint: EndpointId, requestId: RequestId, outcome: AdmissionOutcome, outputTokens: number): void {
    this.table.leave(endpoint, requestId)
    const frame = { kind: 'admission-done', requestId, endpoint, outcome, outputTokens } as const
    this.network.notify(owner, frame)
    // After a hand-over the pin is held by the new owner, which would keep it until the longest request time.
    const present = this.ownerOf(endpoint)
    if (present !== undefined && present !== owner) this.network.notify(present, frame)
  }

  private read (body: ReplyBody, endpoint: EndpointId): Result<Grant, LimpetwinchError> {
    if (body.kind === 'admission-granted') {
      // A new owner has asked what runs here and was told without this request: its adapter may be evicted any moment.
      if (!this.table.accepts(endpoint, body.token)) return err(new LimpetwinchError('not-owner', { endpoint }))
      return ok(body)
    }
    if (body.kind === 'admission-refused' || body.kind === 'refused') {
      const options = body.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: body.retryAfterSeconds }
      return err(new LimpetwinchError(body.error, body.details, options))
    }
    return err(new LimpetwinchError('bad-frame', { reason: `'${body.kind}' in answer to 'admission-ask'` }))
  }
}
