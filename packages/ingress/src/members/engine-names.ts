/**
 * Names in an engine's load owner object the software versions that the engine has run. A process that starts after all others were killed learns
 * from the objects alone at which versions streams may have begun.
 */
import type { Endpoint, ServiceName, SoftwareVersion } from '../routes/configuration.js'
import type { LoadOwner } from './cluster-objects.js'

/** An engine's service and software version. */
export interface EngineName {
  readonly service: ServiceName
  readonly softwareVersion: SoftwareVersion
}

/** Stands for the version of an endpoint that states none. It is the same as no other version, nor as that of another such endpoint. */
export const UNSTATED_VERSION = '' as SoftwareVersion

/** Most earlier names in one object, which bounds its size. Between two of them an engine starts again, which takes seconds. */
const MAXIMUM_EARLIER_NAMES = 16

/** @returns what the entry of an engine says that it runs */
function nameOf ({ service, softwareVersion = UNSTATED_VERSION }: Endpoint): EngineName {
  return { service, softwareVersion }
}

/** @returns all that the load owner object of an engine says that it has run; empty for a claim of an earlier release */
export function namesIn ({ engine, earlierEngines = [] }: Pick<LoadOwner, 'engine' | 'earlierEngines'>): readonly EngineName[] {
  return engine === undefined ? earlierEngines : [engine, ...earlierEngines]
}

/** @returns whether the load owner object of an engine names what its entry says that it runs */
export function isNamedBy (owner: LoadOwner, endpoint: Endpoint): boolean {
  const name = nameOf(endpoint)
  return namesIn(owner).some((named) => isSame(named, name))
}

/**
 * @param before - the object that the claim replaces; undefined when there is none
 * @returns the names for a claim of an engine: its present one, and those of its earlier processes, at which streams may have begun
 */
export function namesForClaim (before: LoadOwner | undefined, endpoint: Endpoint): Pick<LoadOwner, 'engine' | 'earlierEngines'> {
  const engine = nameOf(endpoint)
  const earlier = before === undefined ? [] : namesIn(before).filter((named) => !isSame(named, engine))
  return { engine, ...(earlier.length === 0 ? {} : { earlierEngines: earlier.slice(0, MAXIMUM_EARLIER_NAMES) }) }
}

function isSame (one: EngineName, other: EngineName): boolean {
  return one.service === other.service && one.softwareVersion === other.softwareVersion
}
