/** Closed-loop load: each of a number of callers sends its next request when its previous one has ended, which finds the highest rate. */
import type { LoadTarget } from '../targets/load-target.js'
import type { TraceLine } from '../trace/trace.js'
import { requestOf } from './open-loop.js'
import type { RequestDriver } from './request-driver.js'

/** Callers, duration and requests of a closed loop. */
export interface ClosedLoop {
  readonly callers: number
  readonly seconds: number
  /** Requests that the callers take in turn, repeatedly. */
  readonly lines: readonly TraceLine[]
}

/**
 * Runs closed-loop load until its duration has passed and all requests have ended.
 *
 * @param loop - callers, duration and requests
 * @param target - where the requests are sent
 * @param driver - sends each request
 */
export async function runClosedLoop (loop: ClosedLoop, target: LoadTarget, driver: RequestDriver): Promise<void> {
  const deadline = performance.now() + loop.seconds * 1000
  let next = 0
  const call = async (): Promise<void> => {
    while (performance.now() < deadline) {
      const line = loop.lines[next % loop.lines.length]
      next += 1
      if (line === undefined) return
      await driver.drive(target, requestOf(line), performance.now())
    }
  }
  await Promise.all(Array.from({ length: loop.callers }, call))
}
