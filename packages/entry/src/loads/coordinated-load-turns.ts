/**
 * Requests load turns from the coordinator, a member that all instances choose by rendezvous hashing, or from a fallback while no
 * coordinator can be reached. load-turn-coordinator.ts contains the coordinator's side, which grants the turns.
 */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, InstanceId, Logger } from '@limpetwinch/core'
import { uuidv7 } from 'uuidv7'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { rendezvousRank } from '../placement/rendezvous.js'
import { LoadTurnCoordinator } from './load-turn-coordinator.js'
import { LoadTurns } from './load-turns.js'

/** Timeout of one request for a turn. While the coordinator stays connected, the request is sent again. */
const REQUEST_TIMEOUT_MILLISECONDS = 10_000
/** Default time after which a turn ends even if it was not released. */
const LONGEST_TURN_MILLISECONDS = 10_000

/** Dependencies and settings of {@link CoordinatedLoadTurns}. */
export interface CoordinatedLoadTurnsOptions {
  readonly peers: PeerNetwork
  readonly membership: Membership
  readonly logger: Logger
  /** Turns used while no coordinator can be reached, at this instance's share of the configured load rate. */
  readonly fallback: LoadTurns
  /** Whether each data centre has its own coordinator, or the whole deployment has one. One load at a time runs for each coordinator. */
  readonly scope: 'data-centre' | 'deployment'
  readonly clock?: Clock
  /** Time after which a turn ends even if it was not released, so that a slow load does not delay other loads for longer. */
  readonly longestTurnMilliseconds?: number
}

/**
 * {@link LoadTurns} that a coordinator grants. While no coordinator can be reached, the fallback grants the turns at this
 * instance's share of the load rate. Turns need no fencing, because two loads at once are only slower.
 */
export class CoordinatedLoadTurns extends LoadTurns {
  /** Number of turns requested from the fallback, because no coordinator could be reached. */
  turnsWithoutCoordinator = 0
  private readonly options: CoordinatedLoadTurnsOptions
  private readonly clock: Clock
  private readonly localCoordinator: LoadTurnCoordinator

  /** @param options - dependencies and settings */
  constructor (options: CoordinatedLoadTurnsOptions) {
    super()
    this.options = options
    this.clock = options.clock ?? new SystemClock()
    this.localCoordinator = new LoadTurnCoordinator(this.clock, options.longestTurnMilliseconds ?? LONGEST_TURN_MILLISECONDS)
    const { peers } = options
    peers.onNotice('load-turn-done', (from, frame) => this.localCoordinator.done(from, frame.turn))
    peers.onCall('load-turn-ask', async (from, frame, signal) => {
      const granted = await this.localCoordinator.acquire(from, frame.turn, frame.urgency, signal)
      if (granted) return { kind: 'accepted' }
      return { kind: 'refused', error: 'overloaded', details: { reason: 'the turn lapsed' }, outcome: 'not_run' }
    })
  }

  override async acquire (urgency: number, signal: AbortSignal): Promise<() => void> {
    const turn = uuidv7()
    const began = this.clock.now()
    for (;;) {
      if (signal.aborted) throw new Error('the wait for a load turn was cancelled')
      const coordinator = this.currentCoordinator()
      if (coordinator === undefined) break
      const waited = this.clock.now() - began
      const answer = await this.options.peers.call(coordinator, { kind: 'load-turn-ask', turn, urgency: urgency + waited }, REQUEST_TIMEOUT_MILLISECONDS, signal)
      if (answer.isOk() && answer.value.kind === 'accepted') return this.releaseOf(coordinator, turn)
      // The coordinator may have granted a request that timed out here. Without this message the unused turn would block other loads.
      this.options.peers.notify(coordinator, { kind: 'load-turn-done', turn })
      const queued = answer.isErr() && answer.error.kind === 'peer-silent' && this.options.peers.connected().includes(coordinator)
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

  private releaseOf (coordinator: InstanceId, turn: string): () => void {
    let held = true
    return () => {
      if (held) this.options.peers.notify(coordinator, { kind: 'load-turn-done', turn })
      held = false
    }
  }
}
