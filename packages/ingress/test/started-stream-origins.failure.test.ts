// Guards against streams that go on at another software version than the one that began them at a process that has just started: it knows the load
// owners, but has read no endpoint yet, and would take the only version that the owners name for the only one there is.
import { expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { FencingToken, InstanceId } from '@limpetwinch/core'
import { StateFreshness } from '../src/cluster-state/state-freshness.js'
import type { MemberList } from '../src/members/member-list.js'
import type { IngressMetrics } from '../src/observability/ingress-metrics.js'
import type { PeerOverlay } from '../src/overlay/peer-overlay.js'
import type { Endpoint, ServiceName, SoftwareVersion } from '../src/routes/configuration.js'
import { createStreamOrigins } from '../src/streams/create-stream-origins.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint, service } from './support/samples.js'

const LIMIT_MILLISECONDS = 2_000
const SERVICE = 'engines' as ServiceName
const SELF = 'self' as InstanceId
const OLD = 'v1' as SoftwareVersion

it('a stream is not resumed at a process that has read the load owners and no endpoint, however new the process is', async () => {
  const clock = new ManualClock()
  const limits = { configuration: LIMIT_MILLISECONDS, endpoints: LIMIT_MILLISECONDS, announcements: LIMIT_MILLISECONDS, cluster: LIMIT_MILLISECONDS }
  const freshness = new StateFreshness(limits, clock, silentLogger())
  const origins = createStreamOrigins({
    self: SELF,
    clock,
    logger: silentLogger(),
    metrics: { streamResumed: () => {} } as unknown as IngressMetrics,
    freshness,
    members: { dataCentreOf: () => 'here', remembersStreams: () => true, reachableShare: () => 1 } as unknown as MemberList,
    overlay: { usableHubs: () => [SELF], ownHub: undefined, isLeaf: () => false, notify: () => {} } as unknown as PeerOverlay,
    areMembersKnown: () => true
  })
  let list = (_endpoints: readonly Endpoint[]): void => {}
  origins.connect({ onNotice: () => {} }, { onListing: (listener) => { list = listener } })
  const named = endpoint('named', { service: SERVICE })
  origins.applyLoadOwners([{ endpoint: named.id, holder: 'any', previous: undefined, claimedAt: 0, token: 1 as FencingToken, engine: { service: SERVICE, softwareVersion: OLD } }])
  const found = async (): Promise<SoftwareVersion | undefined> => (await origins.find({ requestId: 'r', team: undefined }, service(SERVICE)))?.softwareVersion
  expect(await found()).toBeUndefined()
  list([named])
  freshness.record('endpoints', clock.now())
  expect(await found()).toBe(OLD)
})
