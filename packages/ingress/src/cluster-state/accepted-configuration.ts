/** Keeps the configuration that this instance routes by. */
import type { Logger, TeamId } from '@limpetwinch/core'
import { RouteTable } from '../routes/route-table.js'
import type { Configuration, KeyDigest, Service, ServiceName, Team } from '../routes/configuration.js'

/** One accepted configuration with its lookup structures. */
export interface ActiveConfiguration {
  readonly configuration: Configuration
  readonly table: RouteTable
  readonly services: ReadonlyMap<ServiceName, Service>
  readonly teams: ReadonlyMap<TeamId, Team>
  readonly teamsByKey: ReadonlyMap<KeyDigest, Team>
}

/** Holds the latest accepted configuration. Its version never decreases while the process runs. */
export class AcceptedConfiguration {
  private readonly logger: Logger
  private readonly provedMillisecondsAgo: () => number
  private readonly listeners: ((active: ActiveConfiguration) => void)[] = []
  private active: ActiveConfiguration | undefined

  /**
   * @param logger - receives a line for each applied configuration
   * @param provedMillisecondsAgo - returns the time since the configuration was last proved to be the newest one; logged
   */
  constructor (logger: Logger, provedMillisecondsAgo: () => number = () => Infinity) {
    this.logger = logger
    this.provedMillisecondsAgo = provedMillisecondsAgo
  }

  /** @returns the version of the active configuration; 0 before the first one */
  get version (): number {
    return this.active?.configuration.version ?? 0
  }

  /** @returns the active configuration, or undefined before the first one */
  get current (): ActiveConfiguration | undefined {
    return this.active
  }

  /** Registers a listener that is called with each newly applied configuration. */
  onChange (listener: (active: ActiveConfiguration) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Applies a configuration unless the active one has the same or a newer version.
   *
   * @param configuration - the configuration to apply
   * @param source - where the configuration came from; logged
   */
  apply (configuration: Configuration, source: 'store' | 'peer'): void {
    // A store listing made before a change may arrive after a peer has sent that change. Going back to the older version would
    // undo what callers have already seen.
    if (configuration.version <= this.version) return
    const services = new Map(configuration.services.map((service) => [service.name, service]))
    const teams = new Map(configuration.teams.map((team) => [team.name, team]))
    const teamsByKey = new Map(configuration.teams.flatMap((team) => team.keys.map((key): [KeyDigest, Team] => [key, team])))
    this.active = { configuration, table: new RouteTable(configuration.routes), services, teams, teamsByKey }
    this.logger.info('A configuration was applied.', {
      version: configuration.version, source, routes: configuration.routes.length, provedMillisecondsAgo: Math.round(this.provedMillisecondsAgo())
    })
    for (const listener of this.listeners) listener(this.active)
  }
}
