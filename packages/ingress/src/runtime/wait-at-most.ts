/** Waits for something that may take too long. */

/**
 * @param milliseconds - how long to wait at most; what still runs then runs on
 * @param work - what is waited for
 */
export async function waitAtMost (milliseconds: number, work: Promise<unknown>): Promise<void> {
  let timer: NodeJS.Timeout | undefined
  const limit = new Promise<void>((resolve) => { timer = setTimeout(resolve, Math.max(0, milliseconds)) })
  await Promise.race([work, limit])
  clearTimeout(timer)
}
