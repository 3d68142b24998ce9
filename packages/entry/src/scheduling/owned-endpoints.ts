/** The endpoints that this instance owns. Each has a scheduler, a loader and a task that polls its engine reports. */
import { adapterOf, LimpetwinchError, parseModelName } from '@limpetwinch/core'
import type { AdapterReference, AdmissionAskFrame, AdmissionDoneFrame, Clock, EndpointId, EngineClient, EngineReport, EngineSettings, InstanceId, LoadedName, Logger, OperatorSettings } from '@limpetwinch/core'
import { DataCentreServiceAccounting } from './data-centre-service-accounting.js'
import { OverloadGuard, PopularityLoadAhead, reservedPlacesFor, StallEvictionPolicy, StallLoadOrderingPolicy, VirtualTimeFairQueue } from '@limpetwinch/decisions'
import type { EvictionPolicy, LoadAhead, LoadOrderingPolicy } from '@limpetwinch/decisions'
import type { LoadTurns } from '../loads/load-turns.js'
import type { Membership } from '../membership/membership.js'
import type { Ownership, OwnershipRecord } from '../ownership/ownership.js'
import type { PeerNetwork, ReplyBody } from '../peers/peer-network.js'
import type { EndpointDirectory } from '../routing/endpoint-directory.js'
import type { Supervisor } from '../runtime/supervisor.js'
import type { Grant, WaitingRequest } from './admission.js'
import { DigestMaker } from './digest.js'
import { EndpointScheduler } from './endpoint-scheduler.js'
import { Loader } from './loader.js'
import { PinAudit } from './pin-audit.js'

/** Interval between polls of a busy engine's report. */
const REPORT_INTERVAL_MILLISECONDS = 500
/** Interval between polls of an idle engine's report. It is longer because each report costs the owner about 2.4 ms of processor time. */
const IDLE_REPORT_INTERVAL_MILLISECONDS = 2_500
/** Maximum number of requests that wait at one endpoint. A further request is refused, or displaces a waiting request of lower rank. */
const MAXIMUM_QUEUED = 2_000
/** Interval between full digests, which give receivers the adapters again that they missed because of a broken connection. */
const FULL_DIGEST_INTERVAL_MILLISECONDS = 30_000
/**
 * Number of consecutive failed polls of an engine's report after which digests call the engine unhealthy and no requests are
 * routed to it.
 */
const REPORTS_MISSED_BEFORE_UNHEALTHY = 4
/**
 * Interval between digests, per member. Digests go to each member, so the interval grows with the number of members to bound
 * the traffic.
 */
const DIGEST_MILLISECONDS_PER_MEMBER = 50
/** Lower bound of the interval between digests, for a deployment with few members. */
const SHORTEST_DIGEST_INTERVAL_MILLISECONDS = 100

/** Dependencies of {@link OwnedEndpoints}. */
export interface OwnedEndpointsOptions {
  readonly supervisor: Supervisor
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly ownership: Ownership
  readonly settings: () => OperatorSettings | undefined
  readonly directory: EndpointDirectory
  readonly loadTurns: LoadTurns
  /** @returns loaded names that requests admitted by earlier owners may still use */
  readonly earlierPins: (endpoint: EndpointId) => ReadonlySet<LoadedName>
  readonly clientOf: (engine: EngineSettings) => EngineClient
  readonly clock: Clock
  readonly logger: Logger
}

/** An endpoint that this instance owns, with its scheduler and the state of its tasks. */
export interface OwnedEndpoint {
  readonly scheduler: EndpointScheduler
  readonly queue: VirtualTimeFairQueue<WaitingRequest>
  readonly client: EngineClient
  readonly digests: DigestMaker
  /** Aborted when this instance no longer owns the endpoint, to end the loader and the report polling. */
  readonly controller: AbortController
  /** The loader of the endpoint, or undefined while this instance hands the endpoint over to its next owner. */
  loader: RunningLoader | undefined
  /**
   * Whether a hand-over is in progress. Until it ends this instance keeps the scheduler, even if the ownership record names
   * the next owner.
   */
  handingOver: boolean
  latestReport: EngineReport | undefined
  /** Number of consecutive polls that got no report. */
  missedReports: number
}

/** A loader and a promise that resolves when the loader's task has ended. No order is in progress then. */
export interface RunningLoader {
  readonly loader: Loader
  readonly ended: Promise<void>
}

/** Maintains one scheduler for each endpoint that this instance owns. */
export class OwnedEndpoints {
  private readonly options: OwnedEndpointsOptions
  private readonly owned = new Map<EndpointId, OwnedEndpoint>()
  private readonly eviction: EvictionPolicy = new StallEvictionPolicy()
  private readonly loadOrder: LoadOrderingPolicy = new StallLoadOrderingPolicy()
  private readonly loadAhead: LoadAhead = new PopularityLoadAhead()
  private readonly guard = new OverloadGuard<WaitingRequest>({ maximumQueued: MAXIMUM_QUEUED })
  private readonly service: DataCentreServiceAccounting
  private readonly audit: PinAudit
  private nextFullDigestsAt = 0
  private connected: ReadonlySet<InstanceId> = new Set()

  /** @param options - dependencies */
  constructor (options: OwnedEndpointsOptions) {
    this.options = options
    this.service = new DataCentreServiceAccounting(options.network, options.membership)
    this.audit = new PinAudit(options.network, options.membership, options.clock)
    options.network.onCall('admission-ask', async (from, frame, signal) => await this.admit(from, frame, signal))
    options.network.onNotice('admission-done', (_from, frame) => this.done(frame))
    options.network.onNotice('team-service', (from, frame) => this.service.receive(from, frame))
    options.ownership.onChange(() => this.reconcile())
  }

  /** @returns the endpoints that this instance owns now */
  all (): readonly OwnedEndpoint[] {
    return [...this.owned.values()]
  }

  /** @returns the state of an endpoint, or undefined if this instance does not own it */
  get (endpoint: EndpointId): OwnedEndpoint | undefined {
    return this.owned.get(endpoint)
  }

  /** @returns a team's recent service relative to the team's fair share of the data centre's service; 1 is fair, more is above the share */
  shareUsed (team: string): number {
    return this.service.accounting.shareUsedAmongActive(team)
  }

  /** Starts and drops schedulers to match the current ownership records and settings. */
  reconcile (): void {
    const settings = this.options.settings()
    if (settings === undefined) return
    this.service.setWeights(settings)
    for (const { queue, scheduler } of this.owned.values()) queue.setReservedPlaces(this.reservedPlaces(scheduler.engine))
    const engines = new Map(this.options.directory.enginesIn(settings).map((engine) => [engine.endpoint, engine]))
    const records = new Map(this.options.ownership.owned().map((record) => [record.endpoint, record]))
    const before = new Map(this.owned)
    for (const [endpoint, owned] of before) {
      const record = records.get(endpoint)
      const same = record?.token === owned.scheduler.token && sameEngine(engines.get(endpoint), owned.scheduler.engine)
      if (!same && !owned.handingOver) this.drop(endpoint, record?.owner)
    }
    for (const [endpoint, record] of records) {
      const engine = engines.get(endpoint)
      if (engine === undefined || this.owned.has(endpoint)) continue
      const earlier = before.get(endpoint)
      this.startOwning(engine, record, earlier?.scheduler.token === record.token ? earlier : undefined)
    }
  }

  /**
   * Stops load and unload orders for a hand-over, and resolves when no order is in progress. Requests for loaded adapters
   * are still admitted.
   */
  async stopOrders (endpoint: EndpointId): Promise<void> {
    const owned = this.owned.get(endpoint)
    if (owned === undefined) return
    owned.handingOver = true
    const running = owned.loader
    owned.loader = undefined
    running?.loader.stop()
    await running?.ended
  }

  /** Resumes load and unload orders after a hand-over that failed, because its ownership record was not written. */
  resumeOrders (endpoint: EndpointId): void {
    const owned = this.owned.get(endpoint)
    if (owned === undefined) return
    owned.handingOver = false
    owned.loader = this.startLoader(owned)
    this.reconcile()
  }

  /** At intervals, until the signal is aborted, broadcasts digests of all owned endpoints and the service that teams used. */
  async broadcast (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const full = this.fullDigestsAreDue()
      for (const owned of this.owned.values()) this.sendDigest(owned, full)
      this.service.broadcast()
      const members = this.options.membership.members().length
      await this.options.clock.sleep(Math.max(SHORTEST_DIGEST_INTERVAL_MILLISECONDS, DIGEST_MILLISECONDS_PER_MEMBER * members), signal)
    }
  }

  /** Stops the scheduler, the loader and the report polling of one endpoint. */
  drop (endpoint: EndpointId, newOwner: InstanceId | undefined): void {
    const owned = this.owned.get(endpoint)
    if (owned === undefined) return
    this.owned.delete(endpoint)
    owned.scheduler.release(newOwner)
    owned.loader?.loader.stop()
    owned.controller.abort()
    this.options.logger.info('This instance no longer owns an endpoint.', { endpoint, token: owned.scheduler.token, owner: newOwner })
  }

  /**
   * Starts the scheduler, the loader and the report polling of one endpoint.
   *
   * @param earlier - the endpoint as it was under the same fencing token and earlier engine settings, if there was one; its
   *   admitted requests still run
   */
  private startOwning (engine: EngineSettings, record: OwnershipRecord, earlier: OwnedEndpoint | undefined): void {
    const { clock, logger, ownership, clientOf, supervisor } = this.options
    const client = clientOf(engine)
    const queue = new VirtualTimeFairQueue<WaitingRequest>({ accounting: this.service.accounting, reservedPlaces: this.reservedPlaces(engine) })
    const scheduler = new EndpointScheduler({
      engine,
      record,
      rights: () => ownership.rights(record),
      queue,
      guard: this.guard,
      loadMilliseconds: () => 1000 / (this.options.settings()?.policy.loadsPerSecond ?? 1),
      clock,
      logger,
      onAdapterRequested: (adapter, team, tokens, now) => {
        this.eviction.recordUse(adapter, team, tokens, now)
        this.loadAhead.recordUse(adapter, now)
      },
      onLoadNeeded: () => this.owned.get(engine.endpoint)?.loader?.loader.wake(),
      onServed: (team, tokens) => this.service.served(team, tokens)
    })
    const owned: OwnedEndpoint = {
      scheduler,
      queue,
      client,
      digests: new DigestMaker(),
      controller: new AbortController(),
      loader: undefined,
      handingOver: false,
      // Without the earlier report, digests would call the engine unhealthy until the next report, and instances would refuse requests.
      latestReport: earlier?.client === client ? earlier.latestReport : undefined,
      missedReports: 0
    }
    this.owned.set(engine.endpoint, owned)
    if (earlier !== undefined) scheduler.takeOverPins(earlier.scheduler)
    owned.loader = this.startLoader(owned, earlier)
    void supervisor.start(`reports ${engine.endpoint}`, async (signal) => await this.pollReports(owned, signal), owned.controller.signal)
    logger.info('This instance now owns an endpoint.', { endpoint: engine.endpoint, token: record.token, handedOverFrom: record.handedOverFrom })
  }

  private reservedPlaces (engine: EngineSettings): number {
    return reservedPlacesFor(this.options.settings()?.policy.batchEfficiencyWeight ?? 0, engine.batchCapacity)
  }

  private startLoader (owned: OwnedEndpoint, earlier?: OwnedEndpoint): RunningLoader {
    const { ownership, loadTurns, directory, earlierPins, clock, logger, supervisor } = this.options
    const { scheduler } = owned
    const { endpoint } = scheduler.engine
    const loader = new Loader({
      scheduler,
      client: owned.client,
      eviction: this.eviction,
      loadOrder: this.loadOrder,
      loadTurns,
      rights: () => ownership.rights(scheduler.record),
      earlierPins: () => earlierPins(endpoint),
      otherCopies: (adapter) => directory.copiesElsewhere(adapter, endpoint),
      loadAccounting: this.service.loads,
      loadAhead: this.loadAhead,
      servable: (adapter) => servableBy(this.options.settings(), scheduler.engine, adapter),
      clock,
      logger
    })
    const ended = supervisor.start(`loader ${endpoint}`, async (signal) => {
      // Orders of the earlier loader carry the same token. With two loaders at once, one could unload an adapter that the
      // other has confirmed as loaded.
      await earlier?.loader?.ended
      if (earlier !== undefined) scheduler.takeOverOrders(earlier.scheduler)
      await loader.run(signal)
    }, owned.controller.signal)
    return { loader, ended }
  }

  private async pollReports (owned: OwnedEndpoint, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const report = await owned.client.report()
      if (report.isOk()) this.applyReport(owned, report.value)
      else owned.missedReports += 1
      await this.audit.auditIfDue(owned.scheduler)
      const idle = owned.latestReport !== undefined && owned.scheduler.running.size === 0 && owned.scheduler.queued === 0
      await this.options.clock.sleep(idle ? IDLE_REPORT_INTERVAL_MILLISECONDS : REPORT_INTERVAL_MILLISECONDS, signal)
    }
  }

  private applyReport (owned: OwnedEndpoint, report: EngineReport): void {
    const { settings } = this.options
    owned.missedReports = 0
    owned.latestReport = report
    owned.scheduler.applyReport(report)
    owned.scheduler.expire()
    const longestRequest = 1000 * (settings()?.policy.longestRequestSeconds ?? Infinity)
    owned.scheduler.dropEndedPins((instance) => this.audit.endedAt(instance), report, longestRequest)
  }

  private sendDigest (owned: OwnedEndpoint, full: boolean): void {
    const { endpoint } = owned.scheduler.engine
    const leaving = this.options.membership.leavingEndpoints().has(endpoint)
    const healthy = owned.latestReport !== undefined && owned.missedReports < REPORTS_MISSED_BEFORE_UNHEALTHY
    const evictionCost = owned.loader?.loader.evictionCost() ?? 0
    const digest = owned.digests.make(owned.scheduler, { full, leaving, healthy, evictionCost })
    if (digest === undefined) return
    for (const member of this.options.membership.members()) {
      if (member.state !== 'gone') this.options.network.notify(member.instance, digest)
    }
  }

  /**
   * Full digests are due at intervals, and at once after a peer has connected. That peer may have received no digests so far,
   * and the owner sends hardly any other digests of an idle endpoint, because its state does not change.
   *
   * @returns whether the next digests have to be full
   */
  private fullDigestsAreDue (): boolean {
    const { network, clock } = this.options
    const before = this.connected
    this.connected = new Set(network.connected())
    const joined = [...this.connected].some((peer) => !before.has(peer))
    if (!joined && clock.now() < this.nextFullDigestsAt) return false
    this.nextFullDigestsAt = clock.now() + FULL_DIGEST_INTERVAL_MILLISECONDS
    return true
  }

  private async admit (from: InstanceId, frame: AdmissionAskFrame, signal: AbortSignal): Promise<ReplyBody> {
    const owned = this.owned.get(frame.endpoint)
    if (owned === undefined) {
      const owner = this.options.ownership.recordOf(frame.endpoint)?.owner
      return refusal(new LimpetwinchError('not-owner', { endpoint: frame.endpoint, owner }))
    }
    if (this.options.membership.leavingEndpoints().has(frame.endpoint)) {
      return refusal(new LimpetwinchError('endpoint-refused', { endpoint: frame.endpoint, reason: 'it is leaving' }))
    }
    const result = await owned.scheduler.admit({ ...frame, from }, signal)
    return result.match(granted, refusal)
  }

  private done (frame: AdmissionDoneFrame): void {
    this.owned.get(frame.endpoint)?.scheduler.done(frame.requestId, frame.outcome, frame.outputTokens)
  }
}

function granted (grant: Grant): ReplyBody {
  return { kind: 'admission-granted', ...grant }
}

function refusal (error: LimpetwinchError): ReplyBody {
  const retry = error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds }
  return { kind: 'admission-refused', error: error.kind, details: error.details, outcome: error.outcome, ...retry }
}

function sameEngine (one: EngineSettings | undefined, other: EngineSettings): boolean {
  return one !== undefined && JSON.stringify(one) === JSON.stringify(other)
}

/**
 * Looks up an adapter in the current settings, because the adapter or its version may have been removed since the last use.
 *
 * @returns the adapter's reference, or undefined if the settings do not list it or this engine has a different base model
 */
function servableBy (settings: OperatorSettings | undefined, engine: EngineSettings, adapter: string): AdapterReference | undefined {
  const model = parseModelName(adapter)
  if (settings === undefined || model.isErr()) return undefined
  const { team, adapter: name, version } = model.value
  const teamSettings = settings.teams.get(team)
  const known = teamSettings === undefined ? undefined : adapterOf(teamSettings, name)
  if (version === undefined || known?.baseModel !== engine.baseModel || !known.versions.includes(version)) return undefined
  return { team, adapter: name, version }
}
