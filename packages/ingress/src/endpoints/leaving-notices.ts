/** Learns from responses that endpoints are leaving, and tells all instances: the entry in the store may say so later, or never. */
import type { EndpointId, EndpointLeavingFrame, InstanceId } from '@limpetwinch/core'
import type { PeerLinks } from '@limpetwinch/entry'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { ResponseFacts } from '../relay/request-codec.js'
import type { Endpoint } from '../routes/configuration.js'
import type { EndpointDirectory } from './endpoint-directory.js'

/** What the notices need of the instance. */
export interface LeavingNoticesDependencies {
  readonly self: InstanceId
  readonly directory: EndpointDirectory
  readonly broadcast: (frame: EndpointLeavingFrame) => void
}

/** Makes an endpoint count as leaving at all instances from the first response that says so. */
export class LeavingNotices {
  private readonly parts: LeavingNoticesDependencies

  constructor (parts: LeavingNoticesDependencies) {
    this.parts = parts
  }

  /** Registers the handler of the notices, and tells instances that connect later of the endpoints known by then. */
  connect (network: Pick<PeerLinks, 'onNotice'>, overlay: Pick<PeerOverlay, 'onNeighbour' | 'replay'>): void {
    network.onNotice('endpoint-leaving', (_from, { endpoint, born }) => { this.parts.directory.markLeaving(endpoint as EndpointId, born, 'peer') })
    overlay.onNeighbour((neighbour) => overlay.replay(neighbour, this.frames().map((frame) => [this.parts.self, frame])))
  }

  /** Records what a response to a request of this instance states. @param endpoint - the endpoint that the request was sent to */
  recordResponse ({ id, born }: Endpoint, facts: ResponseFacts): void {
    if (!facts.isLeaving || !isFrom(id, facts) || !this.parts.directory.markLeaving(id, born, 'response')) return
    this.parts.broadcast({ kind: 'endpoint-leaving', endpoint: id, born })
  }

  private frames (): EndpointLeavingFrame[] {
    return this.parts.directory.saidLeaving().map(({ id, born }) => ({ kind: 'endpoint-leaving', endpoint: id, born }))
  }
}

/** @returns whether the endpoint itself responded; another one may listen at its address by now, and refuses requests as not meant for it */
function isFrom (endpoint: EndpointId, { answeredBy, signed, isFull }: ResponseFacts): boolean {
  return answeredBy === undefined ? signed || isFull : answeredBy === endpoint
}
