/** Endpoints that turn requests away, ask for rest, or say in their responses that they are leaving. */
import type { RegisteredStandIn } from '@limpetwinch/platform'
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

const REFUSED_SHARE = 0.9
const REFUSAL_MILLISECONDS = { minimum: 3_000, maximum: 9_000 }
const REST_SECONDS = [0.7, 1.5, 3] as const
const RESTING_MILLISECONDS = { minimum: 2_000, maximum: 6_000 }
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

/** Lets a model server or a web server turn all requests away and ask for rest. */
export class AskForRest extends SoakFault {
  override readonly kind = 'ask-for-rest'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random } = environment
    const unused = unusedEndpoints(environment)
    if (unused.length === 0) return
    const endpoint = random.pick(unused)
    const seconds = random.pick(REST_SECONDS)
    await this.recordWhile(environment, endpoint.options.id, async () => {
      endpoint.restSeconds = seconds
      endpoint.refusedShare = 1
      await environment.wait(RESTING_MILLISECONDS.minimum, RESTING_MILLISECONDS.maximum)
      endpoint.refusedShare = 0
      endpoint.restSeconds = undefined
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
