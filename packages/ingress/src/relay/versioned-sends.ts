/** What the adapter versions mean for single attempts: the version that an engine must check, and whether a response began on an older version too late. */
import type { EndpointId, Logger } from '@limpetwinch/core'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { AdapterVersions } from '../cluster-state/adapter-versions.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { RoutedRequest } from './routed-request.js'
import type { WaitingAttempts } from './waiting-attempts.js'

/** Dependencies of the versions of attempts. */
export interface VersionedSendsDependencies {
  readonly logger: Logger
  readonly metrics: Pick<IngressMetrics, 'lateVersionServed'>
  readonly locations: Pick<AdapterLocations, 'holders'>
  readonly waiting: Pick<WaitingAttempts, 'begin'>
  readonly versions: Pick<AdapterVersions, 'newest' | 'expected' | 'previousServesUntil'>
}

/** The version of its adapter with which an attempt is sent. */
export interface VersionedSend {
  /** Version of the adapter that the engine must have; undefined accepts any version. */
  readonly expectedVersion: number | undefined
  /** Version that the engine offered; undefined if that is not known. */
  readonly offered: number | undefined
  /** To be called when the attempt has ended. */
  readonly ended: () => void
  /** Log fields, present only if the engine offers an older version than the newest: that version, and the milliseconds until requests must not begin on it. */
  readonly grounds: { readonly offeredVersion?: number, readonly versionMillisecondsLeft?: number }
}

/** Decides on and checks the adapter versions of attempts. */
export class VersionedSends {
  private readonly parts: VersionedSendsDependencies

  constructor (parts: VersionedSendsDependencies) {
    this.parts = parts
  }

  /** @returns the version with which a request is sent to an engine now */
  begin ({ facts: { adapter } }: Pick<RoutedRequest, 'facts'>, endpoint: EndpointId, now: number): VersionedSend {
    if (adapter === undefined) return { expectedVersion: undefined, offered: undefined, ended: () => {}, grounds: {} }
    const { versions, locations } = this.parts
    const { key } = adapter
    const offered = locations.holders(key).get(endpoint)
    const until = offered === undefined ? undefined : versions.previousServesUntil(key, offered)
    const grounds = offered === undefined || until === undefined ? {} : { offeredVersion: offered, versionMillisecondsLeft: Math.round(until - now) }
    return { expectedVersion: versions.expected(key, now), offered, ended: this.parts.waiting.begin(endpoint, now), grounds }
  }

  /** @returns whether a newer version than the one that the engine offered at the send has been announced */
  isReplaced ({ facts: { adapter } }: Pick<RoutedRequest, 'facts'>, { offered }: VersionedSend): boolean {
    return adapter !== undefined && offered !== undefined && offered < (this.parts.versions.newest(adapter.key) ?? 0)
  }

  /**
   * Checks the version with which an engine began to answer. Responses do not state the version of the adapter. It is the one that the
   * engine offered at the send, since an engine refuses the requests that wait for an adapter when it begins to replace it.
   */
  answerBegan ({ facts: { adapter, requestId }, service }: Pick<RoutedRequest, 'facts' | 'service'>, endpoint: EndpointId, { offered: version, expectedVersion, ended }: VersionedSend, now: number): void {
    ended()
    if (adapter === undefined || version === undefined || expectedVersion !== undefined) return
    const newest = this.parts.versions.newest(adapter.key) ?? 0
    const millisecondsLate = Math.round(now - (this.parts.versions.previousServesUntil(adapter.key, version) ?? now))
    if (version >= newest || millisecondsLate <= 0) return
    this.parts.metrics.lateVersionServed(service.name)
    this.parts.logger.warn('A request began on an older adapter version too late.', { request: requestId, endpoint, adapter: adapter.key, version, newest, millisecondsLate })
  }
}
