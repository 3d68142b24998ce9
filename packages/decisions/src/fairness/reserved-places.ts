const MAXIMUM_RESERVED_SHARE = 0.25

/**
 * Computes how many places of a batch are withheld from a team that floods the queue. While one team floods, these places stay
 * empty: requests of other teams get their first token without waiting, but the batch is less full.
 *
 * @param batchEfficiencyWeight - the operator's trade-off between avoiding load stalls (0) and filling batches (1)
 * @param batchCapacity - number of places in a batch
 * @returns a quarter of the places up to a weight of 0.5, then fewer, and none at 1
 */
export function reservedPlacesFor (batchEfficiencyWeight: number, batchCapacity: number): number {
  const share = MAXIMUM_RESERVED_SHARE * Math.min(1, 2 * (1 - batchEfficiencyWeight))
  return Math.round(share * batchCapacity)
}
