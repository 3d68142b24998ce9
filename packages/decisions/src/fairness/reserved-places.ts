/** How the operators' weighting sets the places of a batch that are kept from a team that floods. */

const MAXIMUM_RESERVED_SHARE = 0.25

/**
 * Kept places stay empty while one team floods: others get their first token at once, and steps are less full.
 *
 * @param batchEfficiencyWeight - 0 puts load stalls first, 1 batch efficiency
 * @param batchCapacity - places of a batch
 * @returns a quarter of the places up to a weight of 0.5, then fewer, and none at 1
 */
export function reservedPlacesFor (batchEfficiencyWeight: number, batchCapacity: number): number {
  const share = MAXIMUM_RESERVED_SHARE * Math.min(1, 2 * (1 - batchEfficiencyWeight))
  return Math.round(share * batchCapacity)
}
