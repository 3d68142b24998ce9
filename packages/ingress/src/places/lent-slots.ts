/** Which part of an endpoint's slots one instance lends. */

/**
 * Part of all instances from which an owner lends all slots. At most one group of instances that are cut off from the others reaches more, and
 * the members of instances that were killed stay listed for some time without needing a place.
 */
const MAJORITY_SHARE = 0.5

/** @param reachableShare - the part of all instances that the owner reaches @returns the slots that the owner of a service lends */
export function lentSlots (slots: number, reachableShare: number): number {
  return reachableShare >= MAJORITY_SHARE ? slots : Math.max(1, Math.ceil(slots * reachableShare))
}

/** @returns the slots that an instance uses by itself while no owner answers: at least one, since its requests must not be blocked */
export function ownPartOfSlots (slots: number, instances: number): number {
  return Math.max(1, Math.floor(slots / Math.max(1, instances)))
}
