/** Creates the figures on engines of one instance from the instance's other components. */
import type { Clock, InstanceId, Logger } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { LoadOwnership } from '../adapters/load-ownership.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { MemberList } from '../members/member-list.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import { WorkDigests } from '../routing/work-digests.js'
import { EngineFigures } from './engine-figures.js'

/** The components that the figures need. */
export interface EngineFiguresComponents {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: EndpointDirectory
  readonly overlay: PeerOverlay
  readonly speeds: EngineSpeeds
  readonly workTracker: EndpointWorkTracker
  readonly members: MemberList
  /** @returns the load ownership, which is created later */
  readonly loadOwnership: () => LoadOwnership
}

/** @returns the figures; {@link EngineFigures.connect} registers their handlers */
export function createEngineFigures ({ members, loadOwnership, ...components }: EngineFiguresComponents): EngineFigures {
  const { overlay, workTracker, clock } = components
  return new EngineFigures({
    ...components,
    digests: new WorkDigests(overlay, workTracker, () => members.count, clock),
    members: () => members.count,
    loadOwnerOf: (endpoint) => loadOwnership().loadOwnerOf(endpoint),
    tokenOf: (endpoint) => loadOwnership().loader(endpoint)?.token
  })
}
