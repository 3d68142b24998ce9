/** Tracks which software versions the endpoints of each service run, and which they ran for as long as streams from then may be resumed. */
import type { Clock, EndpointId } from '@limpetwinch/core'
import type { LoadOwner } from '../members/cluster-objects.js'
import { namesIn, UNSTATED_VERSION } from '../members/engine-names.js'
import type { Endpoint, ServiceName, SoftwareVersion } from '../routes/configuration.js'

/** Longest time from the first event of a stream until its caller resumes it for the last time. */
export const STREAM_LIFETIME_MILLISECONDS = 60_000

/** The software versions of all services. */
export class SoftwareVersions {
  private readonly clock: Clock
  private readonly present = new Map<ServiceName, Set<SoftwareVersion>>()
  /** Monotonic time at which each version was last seen, of versions that have left. */
  private readonly lastSeen = new Map<ServiceName, Map<SoftwareVersion, number>>()
  private readonly mixed = new Set<ServiceName>()
  private readonly mixedListeners: ((service: ServiceName) => void)[] = []
  /** Start time of each endpoint in the last listing. */
  private startTimes = new Map<EndpointId, number>()
  /** Engines that were not seen, with claims that name no version: what the claim says of the start, and monotonic time at which it was first seen. */
  private readonly unnamed = new Map<EndpointId, { readonly born: number | undefined, readonly at: number }>()
  private newestToken = 0

  /** @param clock - its monotonic clock is used */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Registers a listener that is called when endpoints of a second version join a service. */
  onMixed (listener: (service: ServiceName) => void): void {
    this.mixedListeners.push(listener)
  }

  /** Applies a listing of all endpoints, those that are leaving among them. */
  applyEndpoints (endpoints: readonly Endpoint[]): void {
    for (const [service, versions] of this.present) for (const version of versions) this.recordSeen(service, version)
    this.present.clear()
    for (const { service, softwareVersion = UNSTATED_VERSION } of endpoints) {
      const versions = this.present.get(service) ?? new Set()
      this.present.set(service, versions.add(softwareVersion))
    }
    this.startTimes = new Map(endpoints.map(({ id, born }) => [id, born]))
    for (const [endpoint, { born }] of this.unnamed) if (this.isPresent(endpoint, born)) this.unnamed.delete(endpoint)
    for (const service of this.present.keys()) this.notifyIfMixed(service)
  }

  /**
   * Applies the load owners in the store. Their objects name the versions of engines that have left a moment ago, also to a process that has
   * just started and has seen none of these engines.
   */
  applyLoadOwners (owners: readonly LoadOwner[]): void {
    const newest = Math.max(this.newestToken, ...owners.map(({ token }) => token))
    for (const owner of owners) {
      if (owner.token <= this.newestToken) continue
      if (namesIn(owner).length === 0 && !this.isPresent(owner.endpoint, owner.born)) this.unnamed.set(owner.endpoint, { born: owner.born, at: this.clock.now() })
      for (const { service, softwareVersion } of namesIn(owner)) this.recordSeen(service, softwareVersion)
    }
    this.newestToken = newest
  }

  /** @returns the versions that endpoints of the service run now, or ran so lately that streams from then may be resumed */
  known (service: ServiceName): ReadonlySet<SoftwareVersion> {
    const versions = new Set(this.present.get(service))
    const seen = this.lastSeen.get(service)
    for (const [version, at] of seen ?? []) {
      if (this.clock.now() - at <= STREAM_LIFETIME_MILLISECONDS) versions.add(version)
      else seen?.delete(version)
    }
    if (this.hasUnnamed()) versions.add(UNSTATED_VERSION)
    return versions
  }

  /** @returns whether streams of the service may have begun at more than one version */
  isMixed (service: ServiceName): boolean {
    const versions = this.known(service)
    return versions.size > 1 || versions.has(UNSTATED_VERSION)
  }

  /** @returns whether the endpoint is listed with the process that a claim is about; a claim that does not say so counts as one about it */
  private isPresent (endpoint: EndpointId, born: number | undefined): boolean {
    const startTime = this.startTimes.get(endpoint)
    return startTime !== undefined && (born === undefined || born === startTime)
  }

  /** @returns whether an engine has left of which neither the service nor the version is known, so lately that streams from then may be resumed */
  private hasUnnamed (): boolean {
    for (const [endpoint, { at }] of this.unnamed) if (this.clock.now() - at > STREAM_LIFETIME_MILLISECONDS) this.unnamed.delete(endpoint)
    return this.unnamed.size > 0
  }

  private recordSeen (service: ServiceName, version: SoftwareVersion): void {
    const seen = this.lastSeen.get(service) ?? new Map<SoftwareVersion, number>()
    this.lastSeen.set(service, seen.set(version, this.clock.now()))
  }

  private notifyIfMixed (service: ServiceName): void {
    const isMixed = this.isMixed(service)
    if (isMixed === this.mixed.has(service)) return
    if (!isMixed) {
      this.mixed.delete(service)
      return
    }
    this.mixed.add(service)
    for (const listener of this.mixedListeners) listener(service)
  }
}
