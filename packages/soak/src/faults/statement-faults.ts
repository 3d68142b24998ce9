/** Endpoints that refuse requests, ask to back off, or say in their responses that they are leaving. */
import type { RegisteredStandIn } from '@limpetwinch/platform'
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

const REFUSED_SHARE = 0.9
const REFUSAL_MILLISECONDS = { minimum: 3_000, maximum: 9_000 }
const BACKOFF_SECONDS = [0.7, 1.5, 3] as const
const BACKOFF_MILLISECONDS = { minimum: 2_000, maximum: 6_000 }
/** Time for which an endpoint goes on after it has said that it is leaving. */
const LEAVING_MILLISECONDS = { minimum: 4_000, maximum: 7_000 }

/** @returns the endpoints that are up and that no fault of this file uses */
function unusedEndpoints ({ deployment }: SoakEnvironment): RegisteredStandIn[] {
  return [...deployment.engines, ...deployment.webServers].filter(({ hasEnded, refusedShare, saysLeaving }) => !hasEnded && refusedShare === 0 && !saysLeaving)
}

/** Lets all endpoints of one service refuse most requests, so that the retry budget is used up. */
export class RefuseRequests extends SoakFault {
  override readonly kind = 'refuse-requests'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, deployment } = environment
    const servers = random.pick<readonly RegisteredStandIn[]>([deployment.engines, deployment.webServers])
    const refusing = unusedEndpoints(environment).filter((each) => servers.includes(each))
    await this.recordWhile(environment, undefined, async () => {
      for (const server of refusing) server.refusedShare = REFUSED_SHARE
      await environment.wait(REFUSAL_MILLISECONDS.minimum, REFUSAL_MILLISECONDS.maximum)
      for (const server of refusing) server.refusedShare = 0
    })
  }
}

/** Lets a model server or a web server refuse all requests and ask to back off. */
export class RequestBackoff extends SoakFault {
  override readonly kind = 'request-backoff'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random } = environment
    const unused = unusedEndpoints(environment)
    if (unused.length === 0) return
    const endpoint = random.pick(unused)
    const seconds = random.pick(BACKOFF_SECONDS)
    await this.recordWhile(environment, endpoint.options.id, async () => {
      endpoint.backoffSeconds = seconds
      endpoint.refusedShare = 1
      await environment.wait(BACKOFF_MILLISECONDS.minimum, BACKOFF_MILLISECONDS.maximum)
      endpoint.refusedShare = 0
      endpoint.backoffSeconds = undefined
    })
  }
}

/** Lets an engine say in its responses that it is leaving, which its entry does not say, and then leave; another engine joins before. */
export class SayLeaving extends SoakFault {
  override readonly kind = 'say-leaving'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, deployment } = environment
    const unused = unusedEndpoints(environment).filter((each) => deployment.engines.some((engine) => engine === each))
    if (unused.length === 0) return
    const leaving = random.pick(unused)
    await this.recordWhile(environment, leaving.options.id, async () => {
      await deployment.addEngine()
      leaving.saysLeaving = true
      await environment.wait(LEAVING_MILLISECONDS.minimum, LEAVING_MILLISECONDS.maximum)
      if (!leaving.hasEnded) await leaving.leave()
    })
  }
}
