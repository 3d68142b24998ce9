/** Processes many items concurrently, with a limit on the number in progress. */

/**
 * Processes all items, with a limited number in progress at the same time.
 *
 * @param items - the items to process
 * @param limit - maximum number of items in progress
 * @param work - processes one item; must not reject
 */
export async function forEachLimited<Item> (items: readonly Item[], limit: number, work: (item: Item) => Promise<void>): Promise<void> {
  const remaining = [...items]
  const worker = async (): Promise<void> => {
    for (let item = remaining.shift(); item !== undefined; item = remaining.shift()) await work(item)
  }
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, worker))
}
