/** Renders the status of an instance, and of the deployment as the instance sees it, as text tables. */
import type { InstanceStatus, TeamHistograms } from './status-schema.js'
import { table } from './table.js'

type Endpoint = InstanceStatus['endpoints'][number]

const SHORT_ID_LENGTH = 8

/** @returns the status as text, with one table for each of its lists */
export function statusText (status: InstanceStatus, histograms: TeamHistograms): string {
  const parts = [
    headline(status),
    section('Instances', instanceTable(status)),
    section('Endpoints', endpointTable(status)),
    section('Loaded adapters', adapterTable(status)),
    section('Teams (requests that this instance took)', teamTable(histograms)),
    section('Frames between instances', frameTable(status))
  ]
  return parts.filter((part) => part !== '').join('\n\n')
}

function headline (status: InstanceStatus): string {
  const state = status.stopping ? 'stopping' : status.ready ? 'ready' : 'not ready'
  const settings = status.settings === undefined ? '' : `, ${status.settings.teams} teams in ${status.settings.paths} paths`
  const calls = Object.entries(status.storeCalls ?? {}).map(([kind, count]) => `${kind} ${String(count)}`).join(', ')
  return `Instance ${status.instance.instance} in ${status.instance.dataCentre} is ${state}: ${status.requestsInProgress} requests in progress${settings}.` +
    (calls === '' ? '' : `\nCalls to the platform: ${calls}.`)
}

function instanceTable ({ members, instance }: InstanceStatus): string {
  return table(['INSTANCE', 'DATA CENTRE', 'ADDRESS', 'STATE', 'STORE'], members.map((member) => [
    member.instance + (member.instance === instance.instance ? ' (this)' : ''),
    member.dataCentre,
    member.address,
    member.state,
    member.storeReachable === undefined ? 'unknown' : member.storeReachable ? 'reached' : 'not reached'
  ]))
}

function endpointTable ({ endpoints, leavingEndpoints }: InstanceStatus): string {
  return table(['ENDPOINT', 'DATA CENTRE', 'MODEL', 'STATE', 'OWNER', 'TOKEN', 'QUEUED', 'RUNNING', 'SLOTS USED', 'BATCH', 'RUNNING BY TEAM'], endpoints.map((endpoint) => [
    endpoint.endpoint,
    endpoint.dataCentre,
    endpoint.baseModel,
    endpoint.leaving || leavingEndpoints.includes(endpoint.endpoint) ? 'leaving' : endpoint.healthy ? 'healthy' : 'unreachable',
    endpoint.owner?.slice(-SHORT_ID_LENGTH) ?? 'none',
    endpoint.token?.toString() ?? '-',
    endpoint.queued.toString(),
    endpoint.running.toString(),
    `${endpoint.adapters.length} of ${endpoint.slots}`,
    endpoint.owned?.batchFill === undefined ? '-' : `${Math.round(100 * endpoint.owned.batchFill)}%`,
    byTeam(endpoint)
  ]))
}

/** Formats the running requests of an endpoint by team. Only the owner of an endpoint knows them; other instances show `?`. */
function byTeam ({ owned }: Endpoint): string {
  if (owned === undefined) return '?'
  const teams = Object.entries(owned.runningByTeam).map(([team, running]) => `${team} ${running}`)
  return teams.length === 0 ? '-' : teams.join(', ')
}

/** Only the owner of an endpoint knows how many requests use or wait for an adapter; other instances show `?`. */
function adapterTable ({ endpoints }: InstanceStatus): string {
  const rows = endpoints.flatMap((endpoint) => endpoint.owned === undefined
    ? endpoint.adapters.map((adapter) => [adapter, endpoint.endpoint, 'loaded', '?', '?'])
    : ownedRows(endpoint, endpoint.owned))
  return table(['ADAPTER', 'ENDPOINT', 'STATE', 'IN USE BY', 'WAITING'], rows.sort((left, right) => (left[0] ?? '') < (right[0] ?? '') ? -1 : 1))
}

function ownedRows (endpoint: Endpoint, owned: NonNullable<Endpoint['owned']>): string[][] {
  return owned.slots
    .filter((slot) => slot.name !== undefined && slot.name !== '')
    .map((slot) => [slot.name ?? '', endpoint.endpoint, slot.state, slot.pins.toString(), (slot.waiting ?? 0).toString()])
}

function teamTable (histograms: TeamHistograms): string {
  const time = (series: TeamHistograms[number], measure: string, at: 'p50' | 'p99'): string => series.milliseconds[measure]?.[at].toFixed(1) ?? '-'
  return table(['TEAM', 'CLASS', 'ANSWERED', 'NOT RUN', 'UNKNOWN', 'LOAD STALL P99', 'QUEUE WAIT P99', 'FIRST TOKEN P50', 'FIRST TOKEN P99'], histograms.map((series) => [
    series.team,
    series.class,
    ...['answered', 'not_run', 'unknown'].map((outcome) => (series.outcomes[outcome] ?? 0).toString()),
    time(series, 'load_stall', 'p99'),
    time(series, 'queue_wait', 'p99'),
    time(series, 'first_token', 'p50'),
    time(series, 'first_token', 'p99')
  ]))
}

function frameTable ({ frames }: InstanceStatus): string {
  return table(['KIND', 'SENT', 'BYTES SENT', 'RECEIVED', 'BYTES RECEIVED'], Object.entries(frames).map(([kind, count]) =>
    [kind, ...[count.sent, count.bytesSent, count.received, count.bytesReceived].map(String)]))
}

function section (title: string, body: string): string {
  return body.includes('\n') ? `${title}\n${body}` : ''
}
