/**
 * Whether an empty engine should get a whole model from the weight store.
 *
 * Such a load is the dearest thing that can be ordered: it takes one of some four a second of the whole deployment, and is
 * priced like some ten requests. Engines join empty in quiet times as well, where those that hold the model have room
 * for everything that comes; there the load buys nothing.
 */

/** How much of an engine that holds the model is in use. */
export interface EngineUsage {
  readonly slots: number
  readonly adaptersInUse: number
}

/** Above this part of all slots in use, requests begin to wait for one: the crowd's own slots are spread unevenly. */
const BUSY_SHARE = 0.4

/**
 * @param holders - the engines that hold the model and take work
 * @returns whether one more is worth a load from the weight store
 */
export function isModelNeeded (holders: readonly EngineUsage[]): boolean {
  const slots = holders.reduce((sum, { slots: each }) => sum + each, 0)
  const inUse = holders.reduce((sum, { adaptersInUse }) => sum + adaptersInUse, 0)
  return slots === 0 || inUse >= slots * BUSY_SHARE
}
