/** Open-loop load: each request is sent at its time, regardless of the progress of earlier requests. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { LoadRequest, LoadTarget } from '../targets/load-target.js'
import { promptText } from '../trace/prompt-text.js'
import type { TraceLine } from '../trace/trace.js'
import type { RequestDriver } from './request-driver.js'

/**
 * Sends the requests of a trace and waits until all have ended.
 *
 * @param trace - trace lines in order of time
 * @param targets - targets that receive the requests in turn
 * @param driver - sends each request
 */
export async function runOpenLoop (trace: readonly TraceLine[], targets: readonly LoadTarget[], driver: RequestDriver): Promise<void> {
  const began = performance.now()
  const running: Promise<void>[] = []
  for (const [index, line] of trace.entries()) {
    const due = began + line.at_ms
    const early = due - performance.now()
    if (early > 0) await sleep(early)
    const target = targets[index % targets.length]
    if (target !== undefined) running.push(driver.drive(target, requestOf(line), due))
  }
  await Promise.all(running)
}

const ANSWER_SEED = 1

/** @returns the request of a trace line, with a new id */
export function requestOf (line: TraceLine): LoadRequest {
  const id = randomUUID()
  return {
    id,
    team: line.team,
    adapter: line.adapter,
    version: line.version,
    priorityClass: line.class,
    prompt: promptText(`${line.team}/${line.adapter}`, id, line.prompt_tokens),
    maximumTokens: line.output_tokens,
    seed: ANSWER_SEED,
    idempotent: line.idempotent,
    key: line.idempotent ? undefined : id
  }
}
