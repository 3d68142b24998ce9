/** Faults caused by requests. */
import { crashingBody } from '@limpetwinch/platform'
import type { SampleRequest, SampleRoute } from '@limpetwinch/platform'
import type { SoakEnvironment } from '../soak-environment.js'
import { usualPromptParts } from '../usual-prompts.js'
import { SoakFault } from './soak-fault.js'

/** Time from the start of a run to the crash: before the first event of the stream, or in the middle of the stream. */
const ENGINE_CRASH_DELAY_MILLISECONDS = { minimum: 5, maximum: 300 }
/** Shorter than the 20 ms within which web servers respond: a request that has been answered crashes nothing. */
const WEB_SERVER_CRASH_DELAY_MILLISECONDS = { minimum: 1, maximum: 12 }
const ARRIVAL_COUNT = { minimum: 15, maximum: 30 }
const ARRIVAL_INTERVAL_MILLISECONDS = { minimum: 100, maximum: 600 }
const DEADLINE_MILLISECONDS = 4_000
const EVENTS = 30
/** Before the first event of the stream, or after the first two. */
const PART_CRASH_DELAY_MILLISECONDS = { minimum: 5, maximum: 60 }

/**
 * Sends a request that crashes each server that starts to run it, again and again, to random instances. Harmless requests with the same
 * path, caller and adapter are sent at the same times; some of them are in flight on the server at many of the crashes.
 */
export class CrashingRequest extends SoakFault {
  override readonly kind = 'crashing-request'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, record } = environment
    const route = random.pick<SampleRoute>(['draft', 'once', 'once', 'enter'])
    const crashDelay = route === 'enter' ? WEB_SERVER_CRASH_DELAY_MILLISECONDS : ENGINE_CRASH_DELAY_MILLISECONDS
    const path = `crashing-${record.crashingPaths.length}`
    const crashesAfterMilliseconds = random.between(crashDelay.minimum, crashDelay.maximum)
    record.crashingPaths.push({ path, crashesAfterMilliseconds })
    const common: Omit<SampleRequest, 'id'> = {
      route, path, deadlineMilliseconds: DEADLINE_MILLISECONDS, ...(route === 'enter' ? {} : { adapter: 'a1', events: EVENTS })
    }
    await this.recordWhile(environment, undefined, async () => {
      const responses: Promise<void>[] = []
      for (let arrival = random.between(ARRIVAL_COUNT.minimum, ARRIVAL_COUNT.maximum); arrival > 0; arrival -= 1) {
        responses.push(environment.sendRequest({ ...common, body: crashingBody(crashesAfterMilliseconds) }), environment.sendRequest({ ...common, body: 'harmless' }))
        await environment.wait(ARRIVAL_INTERVAL_MILLISECONDS.minimum, ARRIVAL_INTERVAL_MILLISECONDS.maximum)
      }
      await Promise.all(responses)
    })
  }
}

/**
 * Sends requests with one part in their prompts that crashes each model server that begins to answer on it, no two alike, to random instances.
 * The other parts are those of the usual callers.
 */
export class CrashingPromptPart extends SoakFault {
  override readonly kind = 'crashing-part'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, record, crashingParts } = environment
    const part = `crashing-part-${record.crashingParts.length}`
    const crashesAfterMilliseconds = random.between(PART_CRASH_DELAY_MILLISECONDS.minimum, PART_CRASH_DELAY_MILLISECONDS.maximum)
    const position = random.between(0, 2)
    record.crashingParts.push({ part, crashesAfterMilliseconds })
    crashingParts.set(part, crashesAfterMilliseconds)
    await this.recordWhile(environment, undefined, async () => {
      const responses: Promise<void>[] = []
      for (let arrival = random.between(ARRIVAL_COUNT.minimum, ARRIVAL_COUNT.maximum); arrival > 0; arrival -= 1) {
        const promptParts = [...usualPromptParts(arrival), `own-${arrival}`]
        promptParts.splice(position, 0, part)
        const path = `${part}-${arrival}`
        responses.push(environment.sendRequest({ route: random.pick(['draft', 'once']), path, body: path, promptParts, adapter: `a${random.between(1, 3)}`, events: EVENTS, deadlineMilliseconds: DEADLINE_MILLISECONDS }))
        await environment.wait(ARRIVAL_INTERVAL_MILLISECONDS.minimum, ARRIVAL_INTERVAL_MILLISECONDS.maximum)
      }
      await Promise.all(responses)
    })
  }
}
