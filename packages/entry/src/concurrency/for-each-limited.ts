/** Does the same for many things, a few at a time. */

/**
 * @param items - what to work on
 * @param limit - how many at a time
 * @param work - done for each; must not reject
 */
export async function forEachLimited<Item> (items: readonly Item[], limit: number, work: (item: Item) => Promise<void>): Promise<void> {
  const left = [...items]
  const worker = async (): Promise<void> => {
    for (let item = left.shift(); item !== undefined; item = left.shift()) await work(item)
  }
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, worker))
}
