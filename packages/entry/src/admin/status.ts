/** Builds the status of this instance that the admin API shows to operators. */
import { enginesOf } from '@limpetwinch/core'
import type { OperatorSettings } from '@limpetwinch/core'
import type { InFlightTable } from '../delivery/in-flight-table.js'
import type { Membership } from '../membership/membership.js'
import type { Ownership } from '../ownership/ownership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { EndpointDirectory } from '../routing/endpoint-directory.js'
import type { OwnedEndpoint, OwnedEndpoints } from '../scheduling/owned-endpoints.js'
import type { SettingsView } from '../settings/settings-view.js'

/** Sources of the values in the status. */
export interface StatusSources {
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly ownership: Ownership
  readonly directory: EndpointDirectory
  readonly owned: OwnedEndpoints
  readonly inFlight: InFlightTable
  readonly settings: SettingsView
  readonly requestsInProgress: () => number
  readonly storeCalls: () => unknown
  readonly isReady: () => boolean
  readonly isStopping: () => boolean
}

/** @returns the status as a JSON value */
export function statusOf (sources: StatusSources): Record<string, unknown> {
  const { network, membership, settings } = sources
  const inForce = settings.current()
  return {
    instance: network.self,
    ready: sources.isReady(),
    stopping: sources.isStopping(),
    requestsInProgress: sources.requestsInProgress(),
    requestsAtEndpoints: sources.inFlight.size,
    members: membership.members(),
    leavingEndpoints: [...membership.leavingEndpoints()],
    endpoints: inForce === undefined ? [] : endpointsOf(sources, inForce),
    settings: { paths: settings.revisions().size, teams: inForce?.teams.size ?? 0 },
    frames: network.counts(),
    storeCalls: sources.storeCalls(),
    process: processUsage()
  }
}

function endpointsOf (sources: StatusSources, settings: OperatorSettings): unknown[] {
  return enginesOf(settings).map((engine) => {
    const knowledge = sources.directory.get(engine.endpoint)
    const owned = sources.owned.get(engine.endpoint)
    return {
      endpoint: engine.endpoint,
      dataCentre: engine.dataCentre,
      baseModel: engine.baseModel,
      fencing: engine.fencing,
      owner: knowledge?.owner ?? sources.ownership.recordOf(engine.endpoint)?.owner,
      token: knowledge?.digest.token ?? sources.ownership.recordOf(engine.endpoint)?.token,
      healthy: knowledge?.digest.healthy ?? false,
      leaving: knowledge?.digest.leaving ?? false,
      queued: knowledge?.digest.queued ?? 0,
      running: knowledge?.digest.running ?? 0,
      slots: engine.slots,
      adapters: [...knowledge?.adapters ?? []],
      ...(owned === undefined ? {} : { owned: ownedDetails(owned) })
    }
  })
}

/** Details of an endpoint that only the owner of the endpoint knows. */
function ownedDetails (owned: OwnedEndpoint): Record<string, unknown> {
  const { scheduler } = owned
  const teams = new Map<string, number>()
  for (const running of scheduler.running.values()) {
    teams.set(running.request.team, (teams.get(running.request.team) ?? 0) + 1)
  }
  return {
    slots: scheduler.slots.all().map((slot) => ({
      name: slot.name,
      state: slot.state,
      pins: slot.pins.size,
      waiting: scheduler.waitingFor(slot.adapter).size
    })),
    wanted: scheduler.adaptersAwaitingLoad(),
    runningByTeam: Object.fromEntries(teams),
    batchFill: owned.latestReport?.batchFill
  }
}

function processUsage (): Record<string, number> {
  const usage = process.cpuUsage()
  return {
    cpuUserMicroseconds: usage.user,
    cpuSystemMicroseconds: usage.system,
    residentBytes: process.memoryUsage.rss(),
    uptimeSeconds: process.uptime()
  }
}
