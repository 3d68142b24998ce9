/** The configuration in force here. */
import type { Logger } from '@limpetwinch/core'
import { RouteTable } from '../routes/route-table.js'
import type { Configuration, Service, ServiceName } from '../routes/configuration.js'

/** One accepted state, ready to be looked up in. */
export interface ActiveConfiguration {
  readonly configuration: Configuration
  readonly table: RouteTable
  readonly services: ReadonlyMap<ServiceName, Service>
}

/** Holds the newest accepted configuration; in one life of the process it never goes back. */
export class AcceptedConfiguration {
  private readonly logger: Logger
  private readonly listeners: ((inForce: ActiveConfiguration) => void)[] = []
  private inForce: ActiveConfiguration | undefined

  /** @param logger - hears of each change */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** @returns the version in force; 0 before the first */
  get version (): number {
    return this.inForce?.configuration.version ?? 0
  }

  /** @returns what is in force, or undefined before the first */
  get current (): ActiveConfiguration | undefined {
    return this.inForce
  }

  /** Calls the listener with each newer state. */
  onChange (listener: (inForce: ActiveConfiguration) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Takes a state up unless a newer one is in force.
   *
   * @param configuration - the state
   * @param source - for the log: who brought it
   */
  apply (configuration: Configuration, source: 'store' | 'peer'): void {
    // A listing made before a change may arrive after it was heard from a peer; going back would undo what callers saw.
    if (configuration.version <= this.version) return
    const services = new Map(configuration.services.map((service) => [service.name, service]))
    this.inForce = { configuration, table: new RouteTable(configuration.routes), services }
    this.logger.info('A configuration is in force.', { version: configuration.version, source, routes: configuration.routes.length })
    for (const listener of this.listeners) listener(this.inForce)
  }
}
