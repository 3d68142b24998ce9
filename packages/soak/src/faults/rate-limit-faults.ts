/** Endpoints under stress: they name a rate limit for some seconds, and do not enforce it. */
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

const REQUESTS_PER_SECOND = [0.5, 1, 2] as const
const DURATION_MILLISECONDS = { minimum: 5_000, maximum: 9_000 }

/** Lets a model server or a web server name a limit, and then none. */
export class NameRateLimit extends SoakFault {
  override readonly kind = 'name-rate-limit'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, deployment, record } = environment
    const unlimited = [...deployment.engines, ...deployment.webServers].filter(({ hasEnded, rateLimit }) => !hasEnded && rateLimit === undefined)
    if (unlimited.length === 0) return
    const endpoint = random.pick(unlimited)
    const requestsPerSecond = random.pick(REQUESTS_PER_SECOND)
    await this.recordWhile(environment, endpoint.options.id, async (span) => {
      record.rateLimits.push({ endpoint: endpoint.options.id, requestsPerSecond, span })
      endpoint.rateLimit = String(requestsPerSecond)
      await environment.wait(DURATION_MILLISECONDS.minimum, DURATION_MILLISECONDS.maximum)
      endpoint.rateLimit = undefined
    })
  }
}
