/** Closed-loop load: so many callers, each sending its next request when its last one has ended; finds the highest rate. */
import type { LoadTarget } from '../targets/load-target.js'
import type { TraceLine } from '../trace/trace.js'
import { requestOf } from './open-loop.js'
import type { RequestDriver } from './request-driver.js'

/** What the callers do. */
export interface ClosedLoop {
  readonly callers: number
  readonly seconds: number
  /** Drawn from in turn. */
  readonly lines: readonly TraceLine[]
}

/**
 * @param loop - callers, time, requests
 * @param target - where to
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
