/** Requests admission from the owner of an endpoint, and notifies the owner when the request is done. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { AdapterReference, EndpointId, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import type { PeerNetwork, ReplyBody } from '../peers/peer-network.js'
import type { Route } from '../routing/router.js'
import type { AdmissionOutcome, Grant } from '../scheduling/admission.js'
import type { InFlightTable } from './in-flight-table.js'

/**
 * The call by which this instance requests admission from an owner times out after the time for which the outside caller still waits for
 * its response ({@link AdmissionRequest.patience}), plus this grace. So the owner's refusal arrives before the call times out.
 */
const RESPONSE_GRACE_MILLISECONDS = 1_000

/** The parameters of an admission request to an owner. */
export interface AdmissionRequest {
  readonly requestId: RequestId
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** How much longer the caller will wait for the complete response, milliseconds. */
  readonly patience: number
}

/** An admission that an owner granted to this instance. The holder has to end the admission with {@link HeldAdmission.done}. */
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

  /** Ends the admission. Call this only when the engine certainly does not run the request any more. */
  done (outcome: AdmissionOutcome, outputTokens: number): void {
    this.client.notifyDone(this.owner, this.endpoint, this.requestId, outcome, outputTokens)
  }
}

/** Sends admission requests to owners and notifies owners of the end of requests. */
export class AdmissionClient {
  private readonly network: PeerNetwork
  private readonly table: InFlightTable
  /** @returns the current owner of an endpoint, which is notified of the end of a request even if an earlier owner admitted the request */
  private readonly ownerOf: (endpoint: EndpointId) => InstanceId | undefined

  /**
   * @param network - the connections to other instances
   * @param table - the requests of this instance that may be running; a new owner of an endpoint queries this table
   * @param ownerOf - returns the current owner of an endpoint, or undefined if this instance does not know it
   */
  constructor (network: PeerNetwork, table: InFlightTable, ownerOf: (endpoint: EndpointId) => InstanceId | undefined) {
    this.network = network
    this.table = table
    this.ownerOf = ownerOf
  }

  /**
   * Requests admission to an endpoint.
   *
   * @param route - the endpoint and its owner
   * @param request - the request to admit
   * @param signal - cancels the admission request
   * @returns the admission, or an error; an admission request does not run anything, so each error has outcome `not_run`
   */
  async requestAdmission (route: Route, request: AdmissionRequest, signal: AbortSignal): Promise<Result<HeldAdmission, LimpetwinchError>> {
    const { endpoint } = route.engine
    const entry = this.table.enter(endpoint, request.requestId, request.team)
    const reply = await this.network.call(route.owner, { kind: 'admission-ask', endpoint, ...request }, request.patience + RESPONSE_GRACE_MILLISECONDS, signal)
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

  /**
   * Removes a request from the table. Notifies the owner that admitted the request, and the current owner if another
   * instance owns the endpoint now.
   */
  notifyDone (owner: InstanceId, endpoint: EndpointId, requestId: RequestId, outcome: AdmissionOutcome, outputTokens: number): void {
    this.table.leave(endpoint, requestId)
    const frame = { kind: 'admission-done', requestId, endpoint, outcome, outputTokens } as const
    this.network.notify(owner, frame)
    // After a hand-over the new owner holds the pin. Without this message it would keep the pin for the longest request time.
    const present = this.ownerOf(endpoint)
    if (present !== undefined && present !== owner) this.network.notify(present, frame)
  }

  private read (body: ReplyBody, endpoint: EndpointId): Result<Grant, LimpetwinchError> {
    if (body.kind === 'admission-granted') {
      // A newer owner has already queried this instance's requests, and this grant of an older owner was not in the response.
      // The adapter may therefore be evicted at any moment.
      if (!this.table.accepts(endpoint, body.token)) return err(new LimpetwinchError('not-owner', { endpoint }))
      return ok(body)
    }
    if (body.kind === 'admission-refused' || body.kind === 'refused') {
      const options = body.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: body.retryAfterSeconds }
      return err(new LimpetwinchError(body.error, body.details, options))
    }
    return err(new LimpetwinchError('bad-frame', { reason: `unexpected '${body.kind}' in response to 'admission-ask'` }))
  }
}
