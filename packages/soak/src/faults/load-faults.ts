/** Uneven endpoints, and requests that hold up others on the same engine. */
import type { RegisteredStandIn } from '@limpetwinch/platform'
import { LONG_PROMPTS, SLOW_ENDPOINT } from '../soak-record.js'
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

/** Factor by which a slow endpoint takes longer. */
const SLOWNESS = { minimum: 2, maximum: 5 }
const SLOW_MILLISECONDS = { minimum: 5_000, maximum: 9_000 }
const LONG_PROMPT_COUNT = { minimum: 40, maximum: 80 }
const LONG_PROMPT_INTERVAL_MILLISECONDS = { minimum: 30, maximum: 150 }
const LONG_PROMPT_TOKENS = { minimum: 5_000, maximum: 10_000 }
const LONG_PROMPT_ADAPTERS = 3
const LONG_PROMPT_EVENTS = 6
const DEADLINE_MILLISECONDS = 8_000

/** Makes one engine and one web server slow for some time. */
export class SlowEndpoint extends SoakFault {
  override readonly kind = SLOW_ENDPOINT

  override async run (environment: SoakEnvironment): Promise<void> {
    const { deployment, random } = environment
    const services: readonly (readonly RegisteredStandIn[])[] = [deployment.engines, deployment.webServers]
    const slow = services.flatMap((servers) => {
      const usual = servers.filter(({ hasEnded, slowness }) => !hasEnded && slowness === 1)
      return usual.length === 0 ? [] : [random.pick(usual)]
    })
    const slowness = random.between(SLOWNESS.minimum, SLOWNESS.maximum)
    await this.recordWhile(environment, undefined, async () => {
      for (const server of slow) server.slowness = slowness
      await environment.wait(SLOW_MILLISECONDS.minimum, SLOW_MILLISECONDS.maximum)
      for (const server of slow) server.slowness = 1
    })
  }
}

/** Sends many requests with long prompts for a few adapters, beside the usual ones. */
export class LongPrompts extends SoakFault {
  override readonly kind = LONG_PROMPTS

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, teams } = environment
    const key = teams === undefined ? {} : { key: teams.steadyKey }
    await this.recordWhile(environment, undefined, async () => {
      const responses: Promise<void>[] = []
      for (let count = random.between(LONG_PROMPT_COUNT.minimum, LONG_PROMPT_COUNT.maximum); count > 0; count -= 1) {
        responses.push(environment.sendRequest({
          route: random.pick(['draft', 'once']),
          adapter: `a${random.between(1, LONG_PROMPT_ADAPTERS)}`,
          promptTokens: random.between(LONG_PROMPT_TOKENS.minimum, LONG_PROMPT_TOKENS.maximum),
          events: LONG_PROMPT_EVENTS,
          deadlineMilliseconds: DEADLINE_MILLISECONDS,
          ...key
        }))
        await environment.wait(LONG_PROMPT_INTERVAL_MILLISECONDS.minimum, LONG_PROMPT_INTERVAL_MILLISECONDS.maximum)
      }
      await Promise.all(responses)
    })
  }
}
