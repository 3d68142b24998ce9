/** Creates the places of one instance from the instance's other components. */
import type { Clock, InstanceId, Logger } from '@limpetwinch/core'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { QuotaOwners } from '../quotas/quota-owners.js'
import { PlaceDesk } from './place-desk.js'
import { lentSlots, ownPartOfSlots } from './lent-slots.js'
import { ServicePlaces } from './service-places.js'

/** The components that the places need. */
export interface PlacesComponents {
  readonly self: InstanceId
  readonly dataCentre: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: EndpointDirectory
  readonly members: MemberList
  readonly overlay: PeerOverlay
  readonly owners: QuotaOwners
  readonly metrics: IngressMetrics
}

/** @returns the places; {@link ServicePlaces.connect} registers their handlers */
export function createPlaces ({ self, dataCentre, clock, logger, directory, members, overlay, owners, metrics }: PlacesComponents): ServicePlaces {
  const isReachable = (instance: InstanceId): boolean => instance === self || overlay.isReachable(instance)
  const shared = { clock, endpointsOf: directory.servable.bind(directory), isReachable }
  return new ServicePlaces({
    self,
    dataCentre,
    clock,
    logger,
    owners,
    owned: new PlaceDesk({ ...shared, lentSlots: (slots) => lentSlots(slots, members.reachableShare()) }),
    ownPart: new PlaceDesk({ ...shared, lentSlots: (slots) => ownPartOfSlots(slots, members.count) }),
    instances: () => members.count,
    endpointsOf: shared.endpointsOf,
    notify: (to, frame) => overlay.notify(to, frame, 'immediate'),
    onDecision: (service, outcome, milliseconds) => metrics.placeDecided(service, outcome, milliseconds)
  })
}
