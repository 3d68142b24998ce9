/**
 * What the previous and the next owner's schedulers do when an endpoint is handed over: orders stop, and loaded names and
 * pins pass to the next owner.
 */
import type { EndpointId, FencingToken, InstanceId, LoadedName } from '@limpetwinch/core'
import { HandOverSource } from '../ownership/hand-over-source.js'
import type { EarlierPin } from '../ownership/earlier-pins.js'
import type { HandedOverPin, HandOverState } from '../ownership/hand-over-source.js'
import type { OwnedEndpoint, OwnedEndpoints } from './owned-endpoints.js'

/** Hands over the endpoints of {@link OwnedEndpoints}. */
export class SchedulerHandOver extends HandOverSource {
  private readonly owned: OwnedEndpoints
  private readonly earlierPins: (endpoint: EndpointId) => readonly EarlierPin[]

  /**
   * @param owned - the owned endpoints
   * @param earlierPins - requests admitted by earlier owners that may still run
   */
  constructor (owned: OwnedEndpoints, earlierPins: (endpoint: EndpointId) => readonly EarlierPin[]) {
    super()
    this.owned = owned
    this.earlierPins = earlierPins
  }

  override async pauseOrders (endpoint: EndpointId): Promise<void> {
    await this.owned.stopOrders(endpoint)
  }

  override resumeOrders (endpoint: EndpointId): void {
    this.owned.resumeOrders(endpoint)
  }

  /** At the time of this call the stored ownership record already names the next owner, so this instance admits no more requests. */
  override state (endpoint: EndpointId): HandOverState {
    const owned = this.owned.get(endpoint)
    if (owned === undefined) return { loaded: [], pins: [] }
    return { loaded: loadedNames(owned), pins: [...grantedPins(owned), ...this.earlierOwnersPins(endpoint)] }
  }

  override release (endpoint: EndpointId, newOwner: InstanceId): void {
    this.owned.drop(endpoint, newOwner)
  }

  override adopt (endpoint: EndpointId, token: FencingToken, state: HandOverState): void {
    this.owned.reconcile()
    const owned = this.owned.get(endpoint)
    if (owned?.scheduler.token === token) owned.scheduler.adopt(state.loaded)
  }

  private earlierOwnersPins (endpoint: EndpointId): HandedOverPin[] {
    return this.earlierPins(endpoint).flatMap(({ requestId, instance, loadedName, team }) =>
      instance === undefined ? [] : [{ requestId, instance, loadedName, team: team ?? '' }])
  }
}

function loadedNames (owned: OwnedEndpoint): LoadedName[] {
  return owned.scheduler.slots.all()
    .filter((slot) => slot.usable && slot.state === 'loaded')
    .map((slot) => slot.name)
}

function grantedPins (owned: OwnedEndpoint): HandedOverPin[] {
  return [...owned.scheduler.running.values()].map(({ request, loadedName }) => ({
    requestId: request.requestId,
    instance: request.from,
    loadedName,
    team: request.team
  }))
}
