/** Load turns granted by one member that all agree on by rendezvous hashing. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, InstanceId, Logger } from '@limpetwinch/core'
import { uuidv7 } from 'uuidv7'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { rendezvousRank } from '../placement/rendezvous.js'
import { LoadTurnCoordinator } from './load-turn-coordinator.js'
import { LoadTurns } from './load-turns.js'

const ASK_MILLISECONDS = 10_000
const LONGEST_TURN_MILLISECONDS = 10_000

/** What the turns are made of. */
export interface CoordinatedLoadTurnsOptions {
  readonly peers: PeerNetwork
  readonly membership: Membership
  readonly logger: Logger
  /** Turns at this instance's share of the rate, taken while there is no conductor. */
  readonly fallback: LoadTurns
  /** One conductor for each data centre, or one for the deployment, with which only one load runs at a time. */
  readonly scope: 'data-centre' | 'deployment'
  readonly clock?: Clock
  /** A load that takes longer no longer keeps the others waiting. */
  readonly longestTurnMilliseconds?: number
}

/** {@link LoadTurns} from a conductor, with a share of the rate as the fallback. It needs no fencing: two loads at once are slower, not wrong. */
export class CoordinatedLoadTurns extends LoadTurns {
  /** Turns taken without a conductor so far. */
  turnsWithoutCoordinator = 0
  private readonly options: CoordinatedLoadTurnsOptions
  private readonly clock: Clock
  private readonly conductor: LoadTurnCoordinator

  /** @param options - the surroundings */
  constructor (options: CoordinatedLoadTurnsOptions) {
    super()
    this.options = options
    this.clock = options.clock ?? new SystemClock()
    this.conductor = new LoadTurnCoordinator(this.clock, options.longestTurnMilliseconds ?? LONGEST_TURN_MILLISECONDS)
    const { peers } = options
    peers.onNotice('load-turn-done', (from, frame) => this.conductor.done(from, frame.turn))
    peers.onCall('load-turn-ask', async (from, frame, signal) => {
      const granted = await this.conductor.acquire(from, frame.turn, frame.urgency, signal)
      if (granted) return { kind: 'accepted' }
      return { kind: 'refused', error: 'overloaded', details: { reason: 'the turn lapsed' }, outcome: 'not_run' }
    })
  }

  override async acquire (urgency: number, signal: AbortSignal): Promise<() => void> {
    const turn = uuidv7()
    const began = this.clock.now()
    for (;;) {
      if (signal.aborted) throw new Error('the wait for a load turn was given up')
      const conductor = this.currentCoordinator()
      if (conductor === undefined) break
      const waited = this.clock.now() - began
      const answer = await this.options.peers.call(conductor, { kind: 'load-turn-ask', turn, urgency: urgency + waited }, ASK_MILLISECONDS, signal)
      if (answer.isOk() && answer.value.kind === 'accepted') return this.releaseOf(conductor, turn)
      // An ask that was given up may have been granted meanwhile; the conductor is told, or the turn would block others.
      this.options.peers.notify(conductor, { kind: 'load-turn-done', turn })
      const queued = answer.isErr() && answer.error.kind === 'peer-silent' && this.options.peers.connected().includes(conductor)
      if (!queued) break
    }
    this.turnsWithoutCoordinator += 1
    return await this.options.fallback.acquire(urgency, signal)
  }

  private currentCoordinator (): InstanceId | undefined {
    const { membership, peers, scope } = this.options
    const alive = membership.members().filter((member) => member.state === 'alive' &&
      (scope === 'deployment' || member.dataCentre === peers.self.dataCentre))
    const key = scope === 'deployment' ? 'load-turns' : `load-turns ${peers.self.dataCentre}`
    return rendezvousRank(key, alive.map((member) => member.instance))[0]
  }

  private releaseOf (conductor: InstanceId, turn: string): () => void {
    let held = true
    return () => {
      if (held) this.options.peers.notify(conductor, { kind: 'load-turn-done', turn })
      held = false
    }
  }
}
