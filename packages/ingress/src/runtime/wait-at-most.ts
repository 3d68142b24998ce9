/** Waits for work, but not longer than a given time. */

/**
 * Resolves when the work is done or the time has passed, whichever is first. Work that fails within the time rejects.
 *
 * @param milliseconds - the longest time to wait; the work continues afterwards
 * @param work - the work to wait for
 */
export async function waitAtMost (milliseconds: number, work: Promise<unknown>): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  const limit = new Promise<void>((resolve) => { timer = setTimeout(resolve, Math.max(0, milliseconds)) })
  await Promise.race([work, limit]).finally(() => clearTimeout(timer))
}
