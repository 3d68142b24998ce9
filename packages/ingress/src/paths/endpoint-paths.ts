/**
 * Records to which endpoints this instance has lost its own path, while other instances still reach them. A failed connection alone does
 * not tell a lost path from a failed endpoint; only another instance that reaches the endpoint does.
 */
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import { Wake } from '@limpetwinch/entry'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { Endpoint, ServiceName } from '../routes/configuration.js'

/** Interval between trials of lost paths, in milliseconds; callers need not wait for the path, so it bounds only how long requests take the detour. */
const TRIAL_MILLISECONDS = 300
/** Number of paths that are tried first; doubled while all trials of a round agree, so that a cut and its end are found quickly in a large fleet. */
const FIRST_TRIALS = 4
const MOST_TRIALS = 64
/** Shortest interval between two confirmations of suspicions, in milliseconds: each opens connections. */
const CONFIRM_MILLISECONDS = 500
/** Time after which a lost path on which nobody has reached the endpoint through another instance is checked, in milliseconds. */
const DETOUR_VALID_MILLISECONDS = 2_000
/** Part of the endpoints of a service whose paths must be lost before the service counts as unreachable. */
const UNREACHABLE_SHARE = 0.5
/** Longest sleep while no path is lost, in milliseconds. */
const IDLE_MILLISECONDS = 5_000

const NONE: ReadonlySet<ServiceName> = new Set()

/** What the paths need of the instance. */
export interface EndpointPathsDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Pick<EndpointDirectory, 'all' | 'find' | 'servable'>
  /** Opens a connection over the own path and closes it. @returns whether the endpoint accepted it */
  readonly tryOwnPath: (endpoint: Endpoint) => Promise<boolean>
  /** Opens a connection through another instance and closes it. @returns whether the endpoint accepted it */
  readonly tryDetour: (endpoint: Endpoint) => Promise<boolean>
  /** Opens a connection by any path and closes it; the dialler then reports what it found. */
  readonly tryAnyPath: (endpoint: Endpoint) => Promise<void>
}

/** Called when the own path to an endpoint was lost or is back. */
export type PathListener = (endpoint: EndpointId, change: 'lost' | 'restored') => void

/** The state of this instance's paths to all endpoints. Only lost paths use memory. */
export class EndpointPaths {
  private readonly parts: EndpointPathsDependencies
  /**
   * Endpoints whose path is lost, the one that was tried longest ago first, with the monotonic time at which another instance was last
   * known to reach the endpoint.
   */
  private readonly lost = new Map<EndpointId, number>()
  private readonly listeners: PathListener[] = []
  private readonly wake = new Wake()
  private unreachable: ReadonlySet<ServiceName> = NONE
  private isSweepDue = false
  private confirmedAt = -Infinity

  constructor (parts: EndpointPathsDependencies) {
    this.parts = parts
  }

  /** Number of endpoints to which the own path is lost. */
  get lostCount (): number {
    return this.lost.size
  }

  /** Registers a listener for changes. */
  onChange (listener: PathListener): void {
    this.listeners.push(listener)
  }

  /** @returns whether the own path to the endpoint is lost */
  isLost (endpoint: EndpointId): boolean {
    return this.lost.has(endpoint)
  }

  /** @returns whether this instance reaches at least half of the endpoints of a service by its own paths, as of the last update */
  reaches (service: ServiceName): boolean {
    return !this.unreachable.has(service)
  }

  /** Determines the services that this instance does not reach; called periodically. @returns the services */
  updateUnreachableServices (): ReadonlySet<ServiceName> {
    const { directory } = this.parts
    const services = new Set([...this.lost.keys()].map((id) => directory.find(id)?.service).filter((service) => service !== undefined))
    this.unreachable = new Set([...services].filter((service) => {
      const endpoints = directory.servable(service)
      return endpoints.length > 0 && endpoints.filter(({ id }) => this.lost.has(id)).length >= endpoints.length * UNREACHABLE_SHARE
    }))
    return this.unreachable
  }

  /** Records that a connection over the own path was opened. */
  recordReached (endpoint: EndpointId): void {
    if (!this.lost.delete(endpoint)) return
    this.parts.logger.info('The path to an endpoint is back.', { endpoint, lost: this.lost.size })
    this.notify(endpoint, 'restored')
  }

  /** Records that the own path failed while another instance reached the endpoint. */
  recordLost (endpoint: EndpointId, reason: string): void {
    if (this.lost.has(endpoint) || this.parts.directory.find(endpoint) === undefined) return
    if (this.lost.size === 0) {
      this.isSweepDue = true
      this.wake.notify()
    }
    this.addLost(endpoint, reason)
  }

  /** Records that a connection was opened through another instance. */
  recordDetour (endpoint: EndpointId): void {
    if (this.lost.has(endpoint)) this.lost.set(endpoint, this.parts.clock.now())
  }

  /** Has an endpoint tried by any path, since nothing is heard from it; at most a few times a second. */
  suspect (id: EndpointId): void {
    const now = this.parts.clock.now()
    const endpoint = this.parts.directory.find(id)
    if (endpoint === undefined || this.lost.has(id) || now - this.confirmedAt < CONFIRM_MILLISECONDS) return
    this.confirmedAt = now
    void this.parts.tryAnyPath(endpoint)
  }

  /** Removes an endpoint that has left. */
  forget (endpoint: EndpointId): void {
    this.lost.delete(endpoint)
  }

  /** Tries lost paths again, and all others once after the first loss, until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.parts
    while (!signal.aborted) {
      if (this.lost.size === 0) {
        await this.wake.wait(IDLE_MILLISECONDS, signal)
        continue
      }
      if (this.isSweepDue) await this.sweep(signal)
      if (!await this.tryLostPaths(signal)) await clock.sleep(TRIAL_MILLISECONDS, signal)
    }
  }

  /**
   * Tries the paths that are not known to be lost. A cut usually covers all endpoints, and each path that is not known to be lost costs a
   * request that is sent on a connection from before the cut.
   */
  private async sweep (signal: AbortSignal): Promise<void> {
    this.isSweepDue = false
    const untried = this.parts.directory.all().filter(({ id, leaving }) => !leaving && !this.lost.has(id))
    for (let count = FIRST_TRIALS; untried.length > 0 && !signal.aborted; count = Math.min(MOST_TRIALS, 2 * count)) {
      const round = untried.splice(0, count)
      const reached = await Promise.all(round.map(async (endpoint) => await this.parts.tryOwnPath(endpoint)))
      for (const [index, { id }] of round.entries()) if (reached[index] !== true) this.addLost(id, 'it was tried after the path to another endpoint was lost')
      if (reached.every((isReached) => isReached)) return
    }
  }

  /** @returns whether all of the tried paths are back, so that the others should be tried at once */
  private async tryLostPaths (signal: AbortSignal): Promise<boolean> {
    for (let count = FIRST_TRIALS; this.lost.size > 0 && !signal.aborted; count = Math.min(MOST_TRIALS, 2 * count)) {
      const reached = await Promise.all([...this.lost.keys()].slice(0, count).map(async (id) => await this.tryLostPath(id)))
      if (!reached.every((isReached) => isReached)) return false
    }
    return true
  }

  private async tryLostPath (id: EndpointId): Promise<boolean> {
    const endpoint = this.parts.directory.find(id)
    if (endpoint === undefined) {
      this.lost.delete(id)
      return true
    }
    const isReached = await this.parts.tryOwnPath(endpoint)
    if (isReached) this.recordReached(id)
    else await this.confirmLoss(endpoint)
    return isReached
  }

  /** Moves a lost path to the end of the trials, or forgets it when no other instance reaches the endpoint either. */
  private async confirmLoss (endpoint: Endpoint): Promise<void> {
    const { clock, logger, tryDetour } = this.parts
    const { id } = endpoint
    const reachedAt = this.lost.get(id) ?? clock.now()
    const isDue = clock.now() - reachedAt > DETOUR_VALID_MILLISECONDS
    const isLost = !isDue || await tryDetour(endpoint)
    if (!this.lost.delete(id)) return
    if (isLost) this.lost.set(id, isDue ? clock.now() : reachedAt)
    else logger.info('An endpoint that this instance does not reach is not reached by others either.', { endpoint: id, lost: this.lost.size })
  }

  private addLost (endpoint: EndpointId, reason: string): void {
    if (this.lost.has(endpoint)) return
    this.lost.set(endpoint, this.parts.clock.now())
    this.parts.logger.warn('The path to an endpoint is lost.', { endpoint, reason, lost: this.lost.size })
    this.notify(endpoint, 'lost')
  }

  private notify (endpoint: EndpointId, change: 'lost' | 'restored'): void {
    for (const listener of this.listeners) listener(endpoint, change)
  }
}
