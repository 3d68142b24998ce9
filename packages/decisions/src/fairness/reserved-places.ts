/**
 * Computes the number of reserved places of an engine: places in its batch that are withheld from a team that floods the queue, so
 * that they stay free for the requests of other teams.
 */

/** Largest part of the places in a batch that is reserved, so that a flooding team still gets three quarters of them. */
const MAXIMUM_RESERVED_SHARE = 0.25

/**
 * Computes how many places of a batch are withheld from a team that floods the queue. While one team floods, these places stay
 * empty until other teams need them: requests of these teams get their first token without waiting, but the batch is less full.
 *
 * @param batchEfficiencyWeight - the operator's trade-off between avoiding load stalls (0) and filling batches (1)
 * @param batchCapacity - number of places in a batch
 * @returns number of reserved places: a quarter of the batch up to a weight of 0.5, then fewer, and none at a weight of 1
 */
export function reservedPlacesFor (batchEfficiencyWeight: number, batchCapacity: number): number {
  const share = MAXIMUM_RESERVED_SHARE * Math.min(1, 2 * (1 - batchEfficiencyWeight))
  return Math.round(share * batchCapacity)
}
