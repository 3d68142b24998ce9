/** Creates the quarantine of one instance from the instance's other components. */
import type { Clock, DeletingObjectStore, InstanceId, Logger } from '@limpetwinch/core'
import type { PeerLinks } from '@limpetwinch/entry'
import type { AdapterVersions } from '../cluster-state/adapter-versions.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { MemberList } from '../members/member-list.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { InstancePaths } from '../paths/create-paths.js'
import type { ServiceName } from '../routes/configuration.js'
import { QuarantineExchange } from './quarantine-exchange.js'

/** The components that the quarantine needs. */
export interface QuarantineComponents {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly network: PeerLinks
  readonly overlay: PeerOverlay
  readonly store: DeletingObjectStore
  readonly paths: InstancePaths
  readonly directory: EndpointDirectory
  readonly versions: AdapterVersions
  readonly members: MemberList
}

/** @returns the quarantine, which does not run yet */
export function createQuarantine ({ paths, directory, versions, members, ...shared }: QuarantineComponents): QuarantineExchange {
  return new QuarantineExchange({
    ...shared,
    dialler: paths.dialler,
    endpoints: () => directory.all(),
    isRemembered: (revision) => members.hasReachableSince(revision),
    findEndpoint: (endpoint) => directory.find(endpoint),
    endpointCount: (service) => directory.servable(service as ServiceName).length,
    newestVersion: (key) => versions.newest(key)
  })
}
