/** Creates the stream origins of one instance from the instance's other components. */
import type { Clock, InstanceId, Logger } from '@limpetwinch/core'
import type { StateFreshness } from '../cluster-state/state-freshness.js'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import { SoftwareVersions } from './software-versions.js'
import { StreamOrigins } from './stream-origins.js'

/** The components that the stream origins need. */
export interface StreamOriginComponents {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly freshness: StateFreshness
  readonly members: MemberList
  readonly overlay: PeerOverlay
  /** @returns whether the members, and with them the load owners, have been read from the store */
  readonly areMembersKnown: () => boolean
}

/** @returns the stream origins; {@link StreamOrigins.connect} registers their handlers */
export function createStreamOrigins (components: StreamOriginComponents): StreamOrigins {
  const { self, clock, logger, metrics, freshness, members, overlay, areMembersKnown } = components
  // The age of what a process knows counts from its start until the first proof, so a process that has read nothing yet is not overdue.
  const areEndpointsKnown = (): boolean => areMembersKnown() && freshness.isProved('endpoints')
  return new StreamOrigins({
    self,
    clock,
    logger,
    metrics,
    versions: new SoftwareVersions(clock),
    recorders: () => overlay.usableHubs().flatMap((instance) => {
      const dataCentre = members.dataCentreOf(instance)
      return dataCentre === undefined || !members.remembersStreams(instance) ? [] : [{ instance, dataCentre }]
    }),
    ownHub: () => {
      const { ownHub } = overlay
      return ownHub !== undefined && members.remembersStreams(ownHub) ? ownHub : undefined
    },
    isLeaf: (neighbour) => overlay.isLeaf(neighbour),
    notify: (to, frame) => overlay.notify(to, frame),
    areEndpointsCurrent: () => areEndpointsKnown() && !freshness.isOverdue('endpoints'),
    areAllReachable: () => areEndpointsKnown() && members.reachableShare() === 1
  })
}
