/**
 * Knows at which software version each stream began, over all instances. What two versions write does not fit together, and endpoints do not
 * check which version began the stream that they are asked to resume.
 *
 * While the endpoints of a service run several versions, an instance tells a few others where a stream begins before it passes on the
 * first event. Whichever instance its caller resumes the stream at asks them. While there is one version, nothing is sent.
 */
import type { Clock, InstanceId, Logger, StreamOriginAskFrame, StreamOriginItem, TeamId } from '@limpetwinch/core'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { LoadOwner } from '../members/cluster-objects.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { Service, ServiceName, SoftwareVersion } from '../routes/configuration.js'
import { UNSTATED_VERSION } from '../members/engine-names.js'
import type { SoftwareVersions } from './software-versions.js'
import { StreamOriginQuestions } from './stream-origin-questions.js'
import { StreamOriginTable, streamKey } from './stream-origin-table.js'
import type { StreamKey, StreamOrigin } from './stream-origin-table.js'
import { recordersOf } from './stream-recorders.js'
import type { StreamRecorder } from './stream-recorders.js'

/** Most streams in one frame, which bounds its size. */
const STREAMS_PER_FRAME = 500

/** What the stream origins need of the instance. */
export interface StreamOriginsDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Pick<IngressMetrics, 'streamResumed'>
  readonly versions: SoftwareVersions
  /** @returns reachable instances that remember streams: hubs of a release that does, this instance if it is one of them */
  readonly recorders: () => readonly StreamRecorder[]
  /** @returns the hub of this instance if it is a leaf and the hub remembers streams */
  readonly ownHub: () => InstanceId | undefined
  readonly isLeaf: (neighbour: InstanceId) => boolean
  readonly notify: (to: InstanceId, frame: NoticeFrame) => void
  /** @returns whether this instance provably knows all endpoints */
  readonly areEndpointsCurrent: () => boolean
  /** @returns whether all registered instances can be reached */
  readonly areAllReachable: () => boolean
}

/** A request whose stream began, or that resumes a stream. */
export interface StreamRequest {
  readonly requestId: string
  readonly team: TeamId | undefined
}

/** The origin of a stream, and how it is known. */
interface FoundOrigin {
  readonly origin: StreamOrigin
  readonly source: 'this instance' | 'another instance' | 'the only version'
}

/** Where the streams of all instances began. */
export class StreamOrigins {
  private readonly parts: StreamOriginsDependencies
  private readonly questions: StreamOriginQuestions
  /** Streams that began at any instance and are remembered here. */
  private readonly known = new StreamOriginTable()
  /** Streams that began at this instance and are not whole. */
  private readonly own = new StreamOriginTable()

  constructor (parts: StreamOriginsDependencies) {
    this.parts = parts
    this.questions = new StreamOriginQuestions(parts)
  }

  /** Number of streams that are remembered here for all instances. */
  get count (): number {
    return this.known.size
  }

  /** Registers the handlers and listeners. */
  connect (network: Pick<PeerLinks, 'onNotice'>, directory: Pick<EndpointDirectory, 'onListing'>): void {
    directory.onListing((endpoints) => this.parts.versions.applyEndpoints(endpoints))
    network.onNotice('stream-origins', (from, { origins }) => this.handleOrigins(from, origins))
    network.onNotice('stream-origin-ask', (from, frame) => this.handleAsk(from, frame))
    network.onNotice('stream-origin-answer', (from, frame) => this.questions.handleAnswer(from, frame))
    // Streams that began while there was one version may be resumed from now on, when there are two.
    this.parts.versions.onMixed((service) => this.send(this.own.ofService(service)))
  }

  /** Applies the load owners in the store, which name software versions that engines ran. */
  applyLoadOwners (owners: readonly LoadOwner[]): void {
    this.parts.versions.applyLoadOwners(owners)
  }

  /**
   * Records that the first event of a stream has arrived; to be called before the event is passed on. Bytes that this process has written to
   * its peers by then reach them even if it is killed.
   */
  begun ({ requestId, team }: StreamRequest, origin: StreamOrigin): void {
    const stream = streamKey(requestId, team)
    const now = this.parts.clock.now()
    this.own.add(stream, origin, now)
    this.known.add(stream, origin, now)
    if (this.parts.versions.isMixed(origin.service)) this.send([[stream, origin]])
  }

  /** Records that the caller of a stream has received all of it. */
  completed ({ requestId, team }: StreamRequest): void {
    this.own.delete(streamKey(requestId, team))
  }

  /**
   * Finds where a stream began that is to be resumed.
   *
   * @param first - the request that brought the first event; undefined when the caller does not name it
   * @param service - the service that the resuming request was routed to
   * @returns where the stream may go on; undefined when it is not known
   */
  async find (first: StreamRequest | undefined, service: Service): Promise<StreamOrigin | undefined> {
    const startedAt = this.parts.clock.now()
    const found = await this.search(first === undefined ? undefined : streamKey(first.requestId, first.team), service.name)
    const milliseconds = Math.round(this.parts.clock.now() - startedAt)
    const isKnown = found !== undefined && found.origin.softwareVersion !== UNSTATED_VERSION
    this.parts.metrics.streamResumed(service.name, isKnown ? found.source : 'unknown')
    if (!isKnown) {
      this.parts.logger.info('Where a stream began is not known.', {
        firstAttempt: first?.requestId, service: service.name, softwareVersions: [...this.parts.versions.known(service.name)], milliseconds
      })
      return undefined
    }
    const { origin, source } = found
    this.parts.logger.debug('Where a stream began is known.', { firstAttempt: first?.requestId, service: origin.service, softwareVersion: origin.softwareVersion, source, milliseconds })
    return origin
  }

  /** Forgets streams that are not resumed any more; called periodically. */
  maintain (): void {
    const now = this.parts.clock.now()
    this.known.expire(now)
    this.own.expire(now)
  }

  private async search (stream: StreamKey | undefined, service: ServiceName): Promise<FoundOrigin | undefined> {
    const { versions, areEndpointsCurrent, areAllReachable } = this.parts
    const here = this.remembered(stream)
    if (here !== undefined) return here
    const seen = new Set(versions.known(service))
    let areComplete = true
    for (const instances of this.instancesToAsk(stream)) {
      const answers = await this.questions.ask(stream, service, instances)
      if (answers.origin !== undefined) return { origin: answers.origin, source: 'another instance' }
      for (const version of answers.softwareVersions) seen.add(version)
      areComplete &&= answers.areComplete
      if (areEndpointsCurrent() && isOneVersion(seen)) return onlyOrigin(service, seen)
    }
    // A record may have arrived meanwhile.
    const later = this.remembered(stream)
    if (later !== undefined) return later
    // An instance that may have missed endpoints of another version is told of them if it can ask all others.
    return areComplete && areAllReachable() && isOneVersion(seen) ? onlyOrigin(service, seen) : undefined
  }

  private remembered (stream: StreamKey | undefined): FoundOrigin | undefined {
    const origin = stream === undefined ? undefined : this.known.find(stream)
    return origin === undefined ? undefined : { origin, source: 'this instance' }
  }

  /** @returns the instances that would remember the stream, then all others that remember streams */
  private instancesToAsk (stream: StreamKey | undefined): readonly (readonly InstanceId[])[] {
    const candidates = this.parts.recorders()
    const recorders = stream === undefined ? [] : recordersOf(stream, candidates)
    const others = candidates.map(({ instance }) => instance).filter((instance) => !recorders.includes(instance))
    return [recorders, others].map((instances) => instances.filter((instance) => instance !== this.parts.self))
  }

  private handleOrigins (from: InstanceId, origins: readonly StreamOriginItem[]): void {
    const now = this.parts.clock.now()
    const decoded = origins.map(([stream, service, softwareVersion]): readonly [StreamKey, StreamOrigin] => (
      [stream as StreamKey, { service: service as ServiceName, softwareVersion: softwareVersion as SoftwareVersion }]
    ))
    for (const [stream, origin] of decoded) this.known.add(stream, origin, now)
    if (this.parts.isLeaf(from)) this.sendToRecorders(decoded)
  }

  private handleAsk (from: InstanceId, { number, stream, service }: StreamOriginAskFrame): void {
    // Records that have arrived, but are not read yet, are read before the answer.
    setImmediate(() => {
      const origin = stream === undefined ? undefined : this.known.find(stream as StreamKey)
      this.parts.notify(from, {
        kind: 'stream-origin-answer',
        number,
        ...(origin === undefined || stream === undefined ? {} : { origin: [stream, origin.service, origin.softwareVersion] as const }),
        softwareVersions: [...this.parts.versions.known(service as ServiceName)]
      })
    })
  }

  /** Sends streams to the instances that remember them. A leaf sends them to its hub only: it is connected to no other instance, and its hub forwards them. */
  private send (streams: readonly (readonly [StreamKey, StreamOrigin])[]): void {
    const hub = this.parts.ownHub()
    if (hub === undefined) this.sendToRecorders(streams)
    else this.sendTo(hub, streams)
  }

  private sendToRecorders (streams: readonly (readonly [StreamKey, StreamOrigin])[]): void {
    const candidates = this.parts.recorders()
    const byRecorder = new Map<InstanceId, (readonly [StreamKey, StreamOrigin])[]>()
    for (const each of streams) {
      for (const recorder of recordersOf(each[0], candidates)) {
        if (recorder === this.parts.self) continue
        const items = byRecorder.get(recorder)
        if (items === undefined) byRecorder.set(recorder, [each])
        else items.push(each)
      }
    }
    for (const [recorder, items] of byRecorder) this.sendTo(recorder, items)
  }

  private sendTo (recorder: InstanceId, streams: readonly (readonly [StreamKey, StreamOrigin])[]): void {
    const items = streams.map(([stream, { service, softwareVersion }]): StreamOriginItem => [stream, service, softwareVersion])
    for (let at = 0; at < items.length; at += STREAMS_PER_FRAME) {
      this.parts.notify(recorder, { kind: 'stream-origins', origins: items.slice(at, at + STREAMS_PER_FRAME) })
    }
  }
}

function isOneVersion (versions: ReadonlySet<SoftwareVersion>): boolean {
  return versions.size === 1 && !versions.has(UNSTATED_VERSION)
}

function onlyOrigin (service: ServiceName, [softwareVersion = UNSTATED_VERSION]: ReadonlySet<SoftwareVersion>): FoundOrigin {
  return { origin: { service, softwareVersion }, source: 'the only version' }
}
