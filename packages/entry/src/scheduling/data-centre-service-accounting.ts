/**
 * Accounting for fair queueing: how much service each team has received in the whole data centre, counted in weighted
 * tokens. If each owner counted only the service of its own engines, a team would get a full share at every owner.
 */
import { ServiceAccounting } from '@limpetwinch/decisions'
import { LoadAccounting } from './load-accounting.js'
import type { InstanceId, OperatorSettings, TeamServiceFrame } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'

/** Number of teams in one `team-service` frame, to bound its size. Further teams are sent with the next broadcast. */
const MAXIMUM_TEAMS_IN_A_FRAME = 100

/** The accounting for all admission queues of this instance. Other owners report the service at their engines in `team-service` frames. */
export class DataCentreServiceAccounting {
  readonly accounting = new ServiceAccounting()
  /** Accounting of adapter loads, with the same team weights as the accounting of service. */
  readonly loads = new LoadAccounting()
  private readonly network: PeerNetwork
  private readonly membership: Membership
  private unsentTokens = new Map<string, number>()
  private weightedTeams = new Set<string>()
  private settings: OperatorSettings | undefined

  /**
   * @param network - sends frames to the other owners
   * @param membership - the members of the data centre
   */
  constructor (network: PeerNetwork, membership: Membership) {
    this.network = network
    this.membership = membership
  }

  /**
   * Applies the teams' weights of the current settings. A team's weight sets its share of the service relative to other
   * teams. A team that is no longer listed gets weight 1 again.
   */
  setWeights (settings: OperatorSettings): void {
    if (this.settings?.shares === settings.shares) return
    this.settings = settings
    const { weights } = settings.shares
    for (const team of this.weightedTeams) if (!Object.hasOwn(weights, team)) this.setWeight(team, 1)
    for (const [team, weight] of Object.entries(weights)) this.setWeight(team, weight)
    this.weightedTeams = new Set(Object.keys(weights))
  }

  private setWeight (team: string, weight: number): void {
    this.accounting.setWeight(team, weight)
    this.loads.setWeight(team, weight)
  }

  /**
   * Records service by the engines of this instance, to be sent to the other owners. The queue has already charged that
   * service locally.
   */
  served (team: string, tokens: number): void {
    this.unsentTokens.set(team, (this.unsentTokens.get(team) ?? 0) + tokens)
  }

  /** Charges teams for the service that another owner has reported. */
  receive (from: InstanceId, frame: TeamServiceFrame): void {
    if (from === this.network.self.instance) return
    for (const { team, tokens } of frame.tokens) this.accounting.charge(team, tokens)
  }

  /** Sends the service by the engines of this instance since the previous call to the other members of the data centre. */
  broadcast (): void {
    if (this.unsentTokens.size === 0) return
    const tokens = [...this.unsentTokens].slice(0, MAXIMUM_TEAMS_IN_A_FRAME).map(([team, amount]) => ({ team, tokens: amount }))
    for (const { team } of tokens) this.unsentTokens.delete(team)
    const { self } = this.network
    for (const member of this.membership.members()) {
      if (member.instance !== self.instance && member.dataCentre === self.dataCentre) {
        this.network.notify(member.instance, { kind: 'team-service', tokens })
      }
    }
  }
}
