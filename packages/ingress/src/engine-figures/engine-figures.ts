/**
 * Makes known to all instances what each one learns of the speeds of engines. Samples go to the load owner of the engine, which publishes
 * its estimate when it changes noticeably.
 */
import type { Clock, EndpointId, EngineSamplesFrame, FencingToken, InstanceId, Logger } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { PeerLinks } from '@limpetwinch/entry'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { OverlayRole } from '../overlay/notice-router.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointWorkTracker, OutstandingWork } from '../routing/endpoint-work-tracker.js'
import type { WorkDigests } from '../routing/work-digests.js'
import { KnownSpeeds } from './known-speeds.js'
import { SlowEngineLog } from './slow-engine-log.js'
import { SpeedEstimates } from './speed-estimates.js'
import { SpeedSamples } from './speed-samples.js'

/** Interval at which samples are sent and estimates published. */
const FLUSH_MILLISECONDS = 100
/**
 * Least publication interval for each instance of the fleet. It bounds the frames with estimates that each instance receives to 200 a second
 * when all load owners publish at every opportunity.
 */
const PUBLISH_MILLISECONDS_PER_MEMBER = 5
/** Interval at which speeds without a load owner are looked for. */
const EXPIRE_MILLISECONDS = 5_000

/** The components that the figures need. */
export interface EngineFiguresDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Pick<EndpointDirectory, 'find' | 'onChange'>
  readonly overlay: Pick<PeerOverlay, 'notify' | 'broadcast' | 'replay' | 'onNeighbour' | 'neighboursOf' | 'isReachable' | 'isHub' | 'isMesh'>
  readonly speeds: EngineSpeeds
  readonly workTracker: Pick<EndpointWorkTracker, 'outstanding' | 'oldestReportMilliseconds'>
  /** Reports of the outstanding work of this instance. */
  readonly digests: WorkDigests
  /** @returns number of instances */
  readonly members: () => number
  readonly loadOwnerOf: (endpoint: EndpointId) => InstanceId | undefined
  /** @returns fencing token of this instance for the engine; undefined when it is not the load owner */
  readonly tokenOf: (endpoint: EndpointId) => FencingToken | undefined
}

/** What this instance knows of one engine, for operators. */
export interface EngineFigure {
  /** How many times slower the engine counts than the fastest ones of its service. */
  readonly slowness: number
  /** Time since which its load owner, if that is this instance, counts it as slow, in milliseconds. */
  readonly slowForMilliseconds: number | undefined
  /** Number of streams and age of the latest one from which the load owner estimated the spacing; undefined when none is published. */
  readonly measured: { readonly streams: number, readonly ageMilliseconds: number } | undefined
  /** Outstanding work of all instances. */
  readonly outstanding: OutstandingWork
  /** Age of the oldest report of another instance that is part of the outstanding work; 0 without other instances. */
  readonly workAgeMilliseconds: number
}

/** Shares the speeds of engines between all instances. */
export class EngineFigures {
  private readonly parts: EngineFiguresDependencies
  private readonly known: KnownSpeeds
  private readonly samples: SpeedSamples
  private readonly estimates: SpeedEstimates
  private readonly slow: SlowEngineLog
  private publishedAt = -Infinity
  private expiredAt = -Infinity

  constructor (parts: EngineFiguresDependencies) {
    this.parts = parts
    const { clock, logger, directory, speeds, overlay, loadOwnerOf, tokenOf } = parts
    const bornOf = (endpoint: EndpointId): number | undefined => directory.find(endpoint)?.born
    this.known = new KnownSpeeds({ speeds, bornOf, loadOwnerOf })
    this.samples = new SpeedSamples({ bornOf, loadOwnerOf, send: (to, frame) => this.sendSamples(to, frame, overlay) })
    this.estimates = new SpeedEstimates({ bornOf, tokenOf, published: (endpoint) => this.known.find(endpoint) })
    this.slow = new SlowEngineLog(clock, logger)
  }

  /** Reports of the outstanding work of this instance. */
  get digests (): WorkDigests {
    return this.parts.digests
  }

  /** Registers the handlers. To be called after the listeners that drop the measurements of engines that restart. */
  connect (network: Pick<PeerLinks, 'onNotice'>): void {
    const { clock, directory, overlay, speeds } = this.parts
    speeds.onSample((endpoint, kind, value) => this.samples.add(endpoint as EndpointId, kind, value))
    network.onNotice('engine-samples', (from, { engines }) => this.estimates.add(from, engines, clock.now()))
    network.onNotice('engine-speeds', (from, frame) => this.known.record(from, frame.speeds, clock.now()))
    directory.onChange(({ id }, change) => {
      if (change !== 'leaving') this.endpointChanged(id, change === 'gone')
    })
    overlay.onNeighbour((neighbour, role) => this.replay(neighbour, role))
  }

  /** Reports the work of this instance, sends samples and publishes estimates until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.digests.run(signal), this.shareSpeeds(signal)])
  }

  /** @returns what is known of the engine */
  figureOf (endpoint: EndpointId): EngineFigure {
    const { clock, speeds, workTracker } = this.parts
    const now = clock.now()
    const known = this.known.find(endpoint)
    const slowSince = this.slow.slowSince(endpoint)
    return {
      slowness: speeds.slowness(endpoint),
      slowForMilliseconds: slowSince === undefined ? undefined : now - slowSince,
      measured: known === undefined || known.spacing === 0 ? undefined : { streams: known.samples, ageMilliseconds: now - known.sampledAt },
      outstanding: workTracker.outstanding(endpoint, now),
      workAgeMilliseconds: workTracker.oldestReportMilliseconds(now)
    }
  }

  /** @returns for each measured engine whose load owner is this instance, how many times slower it counts and on how many streams */
  ownedEngines (): (readonly [endpoint: EndpointId, slowness: number, streams: number])[] {
    return this.estimates.endpoints.map((endpoint) => [endpoint, this.parts.speeds.slowness(endpoint), this.known.find(endpoint)?.samples ?? 0])
  }

  private async shareSpeeds (signal: AbortSignal): Promise<void> {
    const { clock } = this.parts
    while (!signal.aborted) {
      await clock.sleep(FLUSH_MILLISECONDS, signal)
      this.samples.flush()
      this.publish(clock.now())
      this.slow.record(this.ownedEngines())
      this.expire(clock.now())
    }
  }

  private sendSamples (to: InstanceId, frame: EngineSamplesFrame, overlay: EngineFiguresDependencies['overlay']): void {
    if (to === this.parts.self) this.estimates.add(to, frame.engines, this.parts.clock.now())
    else overlay.notify(to, frame)
  }

  private publish (now: number): void {
    const { self, overlay, members } = this.parts
    if (now - this.publishedAt < members() * PUBLISH_MILLISECONDS_PER_MEMBER) return
    const changed = this.estimates.changes(now)
    if (changed.length === 0) return
    this.publishedAt = now
    this.known.record(self, changed, now)
    overlay.broadcast({ kind: 'engine-speeds', speeds: changed }, 'patient')
  }

  private expire (now: number): void {
    if (now - this.expiredAt < EXPIRE_MILLISECONDS) return
    this.expiredAt = now
    this.known.expire(now)
    for (const endpoint of this.known.endpoints()) this.estimates.adopt(endpoint, now)
  }

  private endpointChanged (endpoint: EndpointId, isGone: boolean): void {
    this.samples.forget(endpoint)
    this.estimates.forget(endpoint)
    this.slow.forget(endpoint)
    if (isGone) this.known.forget(endpoint)
    else this.known.apply(endpoint)
  }

  /**
   * Sends a new neighbour what has been published, so that an instance that has just started knows the speeds before it serves requests. A
   * hub sends a leaf what all load owners have published, and another hub what its leaves have. Everybody sends what lost load owners have
   * published, since one of them may be the new neighbour's previous process.
   */
  private replay (neighbour: InstanceId, role: OverlayRole): void {
    const { self, clock, overlay } = this.parts
    const leaves = new Set(overlay.isHub && !overlay.isMesh ? overlay.neighboursOf('leaf') : [])
    const sendsAll = overlay.isHub && !overlay.isMesh && role === 'leaf'
    const isForwarded = (owner: InstanceId): boolean => sendsAll || owner === self || leaves.has(owner) || !overlay.isReachable(owner)
    const frames = [...this.known.present(clock.now())].filter(([owner]) => isForwarded(owner))
    overlay.replay(neighbour, frames.map(([owner, speeds]) => [owner, { kind: 'engine-speeds', speeds }]))
  }
}
