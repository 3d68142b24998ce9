/** Changes and loads of teams: keys that are taken away, and a team that sends more than its quota. */
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

const REQUEST_COUNT = { minimum: 100, maximum: 300 }
/** Five times the quota of the team and more. */
const REQUEST_INTERVAL_MILLISECONDS = { minimum: 5, maximum: 30 }
const DEADLINE_MILLISECONDS = 3_000

/** Takes a key away. */
export class RevokeKey extends SoakFault {
  override readonly kind = 'revoke-key'

  override async run (environment: SoakEnvironment): Promise<void> {
    environment.revokeKey()
    await environment.wait(50, 500)
  }
}

/** Sends several times the quota of one team, to random instances. */
export class FloodQuota extends SoakFault {
  override readonly kind = 'flood-quota'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, teams } = environment
    if (teams === undefined) return
    const answers: Promise<void>[] = []
    for (let left = random.between(REQUEST_COUNT.minimum, REQUEST_COUNT.maximum); left > 0; left -= 1) {
      answers.push(environment.sendRequest({ route: random.pick(['list', 'enter']), deadlineMilliseconds: DEADLINE_MILLISECONDS, key: teams.floodingKey }))
      await environment.wait(REQUEST_INTERVAL_MILLISECONDS.minimum, REQUEST_INTERVAL_MILLISECONDS.maximum)
    }
    await Promise.all(answers)
  }
}
