/** A complete deployment on the loopback interface for one fault run: platform, engines, plain services, entry instances. */
import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { DataCentreId, InstanceSettings, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import { SETTINGS_PREFIX } from '@limpetwinch/core'
import type { OwnershipRecord } from '@limpetwinch/entry'
import { StandInEngine, StandInPlatform, StandInService } from '@limpetwinch/stand-ins'
import { request } from 'undici'
import type { HistoryEvent } from '../history/index.js'
import { CuttableLink } from './cuttable-link.js'
import type { EntryHost, HostedEntry } from './entry-host.js'
import { LocalEntryHost } from './entry-host.js'
import { HistoryLog } from './history-log.js'
import { createEntry } from './mutants/index.js'
import { ProcessEntryHost } from './process-entry-host.js'
import { CALLER_KEY, endpointsText, keyOf, MARKER, markerOf, teamText, TEAMS } from './sample-deployment.js'

/** What a deployment consists of. */
export interface DeploymentPlan {
  readonly instances: number
  /** Whether each engine refuses stale fencing tokens or ignores tokens; one element for each engine. */
  readonly fencing: readonly ('refuses' | 'ignores')[]
  /** Whether each instance runs in its own process, which can be killed and paused as a whole. */
  readonly processes: boolean
  /** Name of the mutant that all instances contain, or undefined for none. */
  readonly mutant: string | undefined
}

/** A running entry instance with the objects that control it. */
export interface RunningEntry extends HostedEntry {
  readonly host: EntryHost
  /** Link between the instance and the platform. */
  readonly link: CuttableLink
  /** Whether the load tool sends requests to this instance. */
  receivesRequests: boolean
}

const DATA_CENTRE = 'north' as DataCentreId
/** Delay after which the platform's instance list shows a change. */
const LIST_LAG_MILLISECONDS = 100
/** Time limit for a new instance to become ready. */
const READY_WITHIN_MILLISECONDS = 30_000
/** Interval between checks whether a new instance is ready. */
const POLL_INTERVAL_MILLISECONDS = 25
/** Timeout of one request that reads which settings an instance has in force. */
const SETTINGS_READ_TIMEOUT_MILLISECONDS = 1_000

/** Starts, changes and closes the deployment of one fault run, and collects its history. */
export class Deployment {
  /** Events recorded by the load tool itself. */
  readonly callerLog = new HistoryLog()
  readonly platform = new StandInPlatform({ listLag: LIST_LAG_MILLISECONDS, loadsPerSecond: 40 })
  readonly engines: readonly StandInEngine[]
  readonly services: readonly StandInService[]
  readonly entries: RunningEntry[] = []
  private readonly plan: DeploymentPlan
  private readonly ended: RunningEntry[] = []
  private writes = 0

  /** @param plan - what the deployment consists of */
  constructor (plan: DeploymentPlan) {
    this.plan = plan
    this.engines = plan.fencing.map((fencing, index) => new StandInEngine({
      name: engineId(index), fencing, slots: 2, batchCapacity: 8, stepMilliseconds: 4, reportLag: 60, reportInterval: 30, loadMilliseconds: 25
    }))
    this.services = [0, 1].map((index) => new StandInService({ name: serviceId(index) }))
  }

  /** Starts the platform, engines, services and instances; resolves when every instance is ready. */
  async start (): Promise<void> {
    await this.platform.listen()
    await Promise.all([...this.engines, ...this.services].map(async (standIn) => await standIn.listen()))
    await this.putSettings('/endpoints', 1, endpointsText(
      this.engines.map((engine, index) => ({ id: engineId(index), url: engine.url, fencing: this.plan.fencing[index] ?? 'refuses' })),
      this.services.map((service, index) => ({ id: serviceId(index), url: service.url }))
    ))
    await this.putSettings('/policy', 1, JSON.stringify({ loadsPerSecond: 40, longestRequestSeconds: 60 }))
    for (const team of TEAMS) await this.putSettings(`/teams/${team}`, 1, teamText(team, 1))
    for (const engine of this.engines.keys()) await this.list(engineId(engine), 'endpoint', '', 'live')
    await Promise.all(Array.from({ length: this.plan.instances }, async () => await this.addEntry()))
  }

  /**
   * Starts one more instance.
   *
   * @returns the instance, once it is ready
   */
  async addEntry (): Promise<RunningEntry> {
    const link = new CuttableLink(this.platform.url)
    const settings = instanceSettings(await link.listen())
    const { mutant, processes } = this.plan
    const host = processes
      ? new ProcessEntryHost(settings, mutant)
      : new LocalEntryHost(createEntry(settings, mutant))
    const hosted = await host.start()
    const entry: RunningEntry = { ...hosted, host, link, receivesRequests: false }
    this.entries.push(entry)
    await this.list(entry.instance, 'entry', entry.peer.replace('http://', ''), 'live')
    await this.untilReady(entry)
    this.callerLog.record({ event: 'instance-started', instance: entry.instance })
    entry.receivesRequests = true
    return entry
  }

  /** Stops an instance as planned, unless the instance has already been stopped or killed. */
  async stopEntry (entry: RunningEntry): Promise<void> {
    if (!this.entries.includes(entry)) return
    this.callerLog.record({ event: 'instance-stop-asked', instance: entry.instance })
    this.remove(entry)
    await this.list(entry.instance, 'entry', entry.peer, 'leaving')
    await entry.host.stop()
    this.callerLog.record({ event: 'instance-ended', instance: entry.instance })
    await this.unlist(entry.instance)
  }

  /** Kills an instance without a planned stop, unless the instance has already been stopped or killed. */
  async killEntry (entry: RunningEntry): Promise<void> {
    if (!this.entries.includes(entry)) return
    this.callerLog.record({ event: 'instance-killed', instance: entry.instance })
    this.remove(entry)
    await entry.host.kill()
    await this.unlist(entry.instance)
  }

  /** Sets the state of an engine on the platform's instance list. */
  async markEngine (index: number, state: 'live' | 'leaving'): Promise<void> {
    await this.list(engineId(index), 'endpoint', '', state)
  }

  /** Changes a team's settings on top of the latest revision. A change that loses a race against another operator is not retried. */
  async changeTeam (team: string, author: string): Promise<void> {
    const path = `/teams/${team}`
    const revision = this.revisionOf(path) + 1
    const accepted = await this.putSettings(path, revision, teamText(team, revision, author))
    if (accepted) this.callerLog.record({ event: 'settings-accepted', path, revision, digest: markerOf(revision, author) })
  }

  /** @returns the revision of a team's settings that an instance has in force, as its list of models shows to callers */
  async readSettingsInForce (entry: RunningEntry, team: string): Promise<{ revision: number, digest: string } | undefined> {
    const answer = await request(`${entry.caller}/v1/models`, {
      headers: { authorization: `Bearer ${keyOf(team)}` },
      signal: AbortSignal.timeout(SETTINGS_READ_TIMEOUT_MILLISECONDS)
    })
    const body = await answer.body.text()
    const digest = new RegExp(`${MARKER}@(r(\\d+)[.\\w]*)`).exec(body)
    return digest?.[1] === undefined ? undefined : { revision: Number(digest[2]), digest: digest[1] }
  }

  /** @returns the latest revision of a path in the store, or 0 when the path has no settings */
  revisionOf (path: string): number {
    return this.documentOf(path)?.revision ?? 0
  }

  private documentOf (path: string): SettingsDocument | undefined {
    const object = this.platform.store.snapshot().find((candidate) => candidate.path === SETTINGS_PREFIX + path)
    return object?.value as SettingsDocument | undefined
  }

  /** @returns whether the write took effect, which is also detected when the store's response was lost */
  private async putSettings (path: string, revision: number, text: string): Promise<boolean> {
    this.writes += 1
    const writeId = `write-${this.writes}`
    const value: SettingsDocument = { path: path as SettingsPath, revision: revision as Revision, text, writeId, acceptedAt: Date.now(), author: 'load' }
    const written = await this.platform.store.put({ path: SETTINGS_PREFIX + path, ifVersion: revision - 1, value })
    return written.isOk() || this.documentOf(path)?.writeId === writeId
  }

  /** @returns the events that callers, endpoints and the platform recorded, in order of time */
  history (): HistoryEvent[] {
    const standIns = [this.platform, ...this.engines, ...this.services].flatMap((standIn) => standIn.history.all()) as HistoryEvent[]
    return [...this.callerLog.events, ...standIns].sort((left, right) => left.at - right.at)
  }

  /** @returns the ownership records of the engines, as stored on the platform */
  ownershipRecords (): readonly OwnershipRecord[] {
    const object = this.platform.store.snapshot().find((candidate) => candidate.path === `/ownership/${DATA_CENTRE}`)
    return (object?.value as { records: readonly OwnershipRecord[] } | undefined)?.records ?? []
  }

  /** Kills all instances and closes their links, the platform, the engines and the services. */
  async close (): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => await entry.host.kill()))
    await Promise.all([...this.entries, ...this.ended].map(async (entry) => await entry.link.close()))
    await Promise.all([this.platform, ...this.engines, ...this.services].map(async (standIn) => await standIn.close()))
  }

  private remove (entry: RunningEntry): void {
    entry.receivesRequests = false
    this.entries.splice(this.entries.indexOf(entry), 1)
    this.ended.push(entry)
  }

  private async untilReady (entry: RunningEntry): Promise<void> {
    const deadline = performance.now() + READY_WITHIN_MILLISECONDS
    for (;;) {
      const answer = await request(`${entry.admin}/ready`)
      await answer.body.dump()
      if (answer.statusCode === 200) return
      if (performance.now() > deadline) throw new Error(`Instance ${entry.instance} is not ready after ${READY_WITHIN_MILLISECONDS} ms.`)
      await sleep(POLL_INTERVAL_MILLISECONDS)
    }
  }

  private async list (id: string, kind: 'entry' | 'endpoint', address: string, state: 'live' | 'leaving'): Promise<void> {
    const answer = await request(`${this.platform.url}/control/instances`, { method: 'PUT', body: JSON.stringify({ id, kind, address, dataCentre: DATA_CENTRE, state }) })
    await answer.body.dump()
  }

  private async unlist (id: string): Promise<void> {
    const answer = await request(`${this.platform.url}/control/instances?id=${id}`, { method: 'DELETE' })
    await answer.body.dump()
  }
}

/** @returns the endpoint id of an engine */
export function engineId (index: number): string {
  return `engine-${index}`
}

function serviceId (index: number): string {
  return `echo-${index}`
}

function instanceSettings (platform: string): InstanceSettings {
  return {
    address: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
    dataCentre: DATA_CENTRE,
    platform,
    administratorKeySha256: createHash('sha256').update(CALLER_KEY).digest('hex'),
    logs: { format: 'text', level: 'error' },
    limits: { bodyBytes: 1_048_576, headerBytes: 16_384, connections: 10_000, headerSeconds: 10, bodySeconds: 30, stopSeconds: 60 },
    timing: { heartbeatMilliseconds: 100, suspectMilliseconds: 400, instanceListMilliseconds: 150, settingsWatchMilliseconds: 2_000 }
  }
}
