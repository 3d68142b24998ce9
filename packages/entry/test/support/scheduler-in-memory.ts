/** In-memory substitute for the scheduler and the delivery in tests of ownership. Keeps loaded names and pins in plain maps. */
import type { EndpointId, FencingToken, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import { HandOverSource } from '@limpetwinch/entry'
import type { HandedOverPin, HandOverState, PeerNetwork } from '@limpetwinch/entry'

export class SchedulerInMemory extends HandOverSource {
  readonly events: string[] = []
  readonly loaded = new Map<EndpointId, LoadedName[]>()
  readonly pins = new Map<EndpointId, HandedOverPin[]>()
  readonly releasedTo = new Map<EndpointId, InstanceId>()
  readonly lowestAcceptedTokens = new Map<EndpointId, FencingToken>()
  /** Requests of this instance, reported in response to `pins-ask` frames. */
  readonly requests: { endpoint: EndpointId, requestId: RequestId, loadedName: LoadedName, team: string }[] = []
  /** Simulates a paused process, which responds to no frame. */
  paused = false

  constructor (peers: PeerNetwork) {
    super()
    peers.onCall('pins-ask', async (_, frame) => {
      if (this.paused) return await new Promise(() => {})
      this.lowestAcceptedTokens.set(frame.endpoint, frame.token)
      const pins = this.requests.filter((request) => request.endpoint === frame.endpoint)
      return { kind: 'pins-report', pins: pins.map(({ requestId, loadedName, team }) => ({ requestId, loadedName, team })) }
    })
  }

  override async pauseOrders (endpoint: EndpointId): Promise<void> {
    this.events.push(`freeze ${endpoint}`)
  }

  override resumeOrders (endpoint: EndpointId): void {
    this.events.push(`resume ${endpoint}`)
  }

  override state (endpoint: EndpointId): HandOverState {
    this.events.push(`state ${endpoint}`)
    return { loaded: this.loaded.get(endpoint) ?? [], pins: this.pins.get(endpoint) ?? [] }
  }

  override release (endpoint: EndpointId, newOwner: InstanceId): void {
    this.events.push(`release ${endpoint}`)
    this.releasedTo.set(endpoint, newOwner)
  }

  override adopt (endpoint: EndpointId, _: FencingToken, state: HandOverState): void {
    this.events.push(`adopt ${endpoint}`)
    this.loaded.set(endpoint, [...state.loaded])
    this.pins.set(endpoint, [...state.pins])
  }
}
