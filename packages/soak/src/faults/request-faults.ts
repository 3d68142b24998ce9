/** Faults that come with a request. */
import { crashingBody } from '@limpetwinch/platform'
import type { SampleRequest, SampleRoute } from '@limpetwinch/platform'
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

/** Some crash a server before their first event, some in the midst of their stream; milliseconds. */
const ENGINE_CRASH_DELAY_MILLISECONDS = { least: 5, most: 300 }
/** Plain servers answer within 20 ms; a request that was answered has crashed nothing. */
const WEB_SERVER_CRASH_DELAY_MILLISECONDS = { least: 1, most: 12 }
const ARRIVAL_COUNT = { minimum: 15, maximum: 30 }
const ARRIVAL_INTERVAL_MILLISECONDS = { minimum: 100, maximum: 600 }
const DEADLINE_MILLISECONDS = 4_000
const EVENTS = 30

/**
 * A request that crashes each server that begins to run it comes again and again, at any instance. Beside it come requests of the
 * same path, caller and adapter that do no harm; they are aboard at many of the crashes.
 */
export class CrashingRequest extends SoakFault {
  override readonly kind = 'crashing-request'

  override async run (site: SoakEnvironment): Promise<void> {
    const { random, record } = site
    const route = random.pick<SampleRoute>(['draft', 'once', 'once', 'enter'])
    const span = route === 'enter' ? WEB_SERVER_CRASH_DELAY_MILLISECONDS : ENGINE_CRASH_DELAY_MILLISECONDS
    const path = `crashing-${record.crashingPaths.length}`
    const crashesAfterMilliseconds = random.between(span.least, span.most)
    record.crashingPaths.push({ path, crashesAfterMilliseconds })
    const common: Omit<SampleRequest, 'id'> = {
      route, path, deadlineMilliseconds: DEADLINE_MILLISECONDS, ...(route === 'enter' ? {} : { adapter: 'a1', events: EVENTS })
    }
    await this.recordWhile(site, undefined, async () => {
      const answers: Promise<void>[] = []
      for (let arrival = random.between(ARRIVAL_COUNT.minimum, ARRIVAL_COUNT.maximum); arrival > 0; arrival -= 1) {
        answers.push(site.sendRequest({ ...common, body: crashingBody(crashesAfterMilliseconds) }), site.sendRequest({ ...common, body: 'harmless' }))
        await site.wait(ARRIVAL_INTERVAL_MILLISECONDS.minimum, ARRIVAL_INTERVAL_MILLISECONDS.maximum)
      }
      await Promise.all(answers)
    })
  }
}
