/**
 * Decides whether an empty engine should load a whole model from the weight store.
 *
 * Such a load is the most expensive order: the whole deployment can make only about four per second, and each costs about as much
 * as ten requests. Engines also join empty while traffic is low. The engines that hold the model can then serve all requests, and
 * the load would bring no benefit.
 */

/** Adapters that an engine that holds the model could hold at one time, by its slots and its memory, and how many are in use. */
export interface EngineUsage {
  readonly slots: number
  readonly adaptersInUse: number
}

/** If at least this fraction of all slots is in use, requests begin to wait for a slot: the slots in use are spread unevenly over the engines. */
const BUSY_SHARE = 0.4

/**
 * @param holders - engines that hold the model and accept requests
 * @returns whether loading the model on one more engine is worth a load from the weight store
 */
export function isModelNeeded (holders: readonly EngineUsage[]): boolean {
  const slots = holders.reduce((sum, { slots: each }) => sum + each, 0)
  const inUse = holders.reduce((sum, { adaptersInUse }) => sum + adaptersInUse, 0)
  return slots === 0 || inUse >= slots * BUSY_SHARE
}
