/** Creates what one instance learns of endpoints from their responses and tells all others: that they are leaving, or that their responses have no end. */
import type { Clock, Logger } from '@limpetwinch/core'
import type { OutlierEjection } from '@limpetwinch/decisions'
import type { PeerLinks } from '@limpetwinch/entry'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import { UnboundedResponses } from '../unbounded-responses/unbounded-responses.js'
import type { EndpointDirectory } from './endpoint-directory.js'
import { LeavingNotices } from './leaving-notices.js'

/** The components that the notices need. */
export interface EndpointNoticesComponents {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: EndpointDirectory
  readonly members: MemberList
  readonly overlay: PeerOverlay
  readonly metrics: IngressMetrics
  readonly ejection: OutlierEjection
}

/** Notices on endpoints between the instances. */
export interface EndpointNotices {
  readonly leaving: LeavingNotices
  readonly unbounded: UnboundedResponses
  /** Registers the handlers of the notices. */
  readonly connect: (network: Pick<PeerLinks, 'onNotice'>) => void
}

/** @returns the notices of one instance; the ejection keeps endpoints out of use by them */
export function createEndpointNotices ({ clock, logger, directory, members, overlay, metrics, ejection }: EndpointNoticesComponents): EndpointNotices {
  const { instance: self, name } = members.self
  const leaving = new LeavingNotices({ self, directory, broadcast: (frame) => overlay.broadcast(frame) })
  const unbounded = new UnboundedResponses({
    self,
    name,
    clock,
    logger: logger.part('relay'),
    directory,
    metrics,
    liveInstances: () => members.live().map((member) => member.name),
    broadcast: (frame) => overlay.broadcast(frame)
  })
  ejection.holdWith(unbounded)
  directory.onChange((endpoint, change) => { if (change === 'gone' || change === 'restarted') unbounded.forget(endpoint.id) })
  const connect = (network: Pick<PeerLinks, 'onNotice'>): void => {
    leaving.connect(network, overlay)
    unbounded.connect(network, overlay)
  }
  return { leaving, unbounded, connect }
}
