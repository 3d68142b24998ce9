/** The rules by which an instance ejects endpoints that fail repeatedly. */
import { OutlierEjection } from '@limpetwinch/decisions'

/**
 * Ejections are short, because an endpoint that recovers is needed at once and one that fails again is ejected for longer.
 *
 * When so many endpoints are ejected that less than the minimum usable share is left, ejected endpoints are used as well, up to
 * this share. The share is below one third, the part of all endpoints that one of three data centres has. When a data centre is cut off
 * from the other two, its own endpoints therefore suffice, and its instances do not keep trying the unreachable endpoints.
 */
const EJECTION = { failuresToEject: 2, ejectionMilliseconds: 1_500, longestEjectionMilliseconds: 10_000, recoveryMilliseconds: 4_000, minimumUsableShare: 0.25 }

/** @returns the ejection of one instance */
export function createEjection (): OutlierEjection {
  return new OutlierEjection(EJECTION)
}
