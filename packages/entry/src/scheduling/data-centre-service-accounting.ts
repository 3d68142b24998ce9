/** The service that teams have had in the whole data centre, so that a team cannot have a full share of each owner. */
import { ServiceAccounting } from '@limpetwinch/decisions'
import { LoadAccounting } from './load-accounting.js'
import type { InstanceId, OperatorSettings, TeamServiceFrame } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'

const MOST_TEAMS_IN_A_FRAME = 100

/** One ledger for all queues of this instance; service by others comes in by frames. */
export class DataCentreServiceAccounting {
  readonly accounting = new ServiceAccounting()
  /** Loads are shared by the same weights. */
  readonly loads = new LoadAccounting()
  private readonly network: PeerNetwork
  private readonly membership: Membership
  private unsentTokens = new Map<string, number>()
  private weightedTeams = new Set<string>()
  private settings: OperatorSettings | undefined

  /**
   * @param network - frames to the other owners
   * @param membership - who they are
   */
  constructor (network: PeerNetwork, membership: Membership) {
    this.network = network
    this.membership = membership
  }

  /** Takes up the weights in force; a team that lost its line is back at 1. */
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

  /** Counts service here, to be told to the other owners. The queue has charged it to the ledger already. */
  served (team: string, tokens: number): void {
    this.unsentTokens.set(team, (this.unsentTokens.get(team) ?? 0) + tokens)
  }

  /** Takes up service by another owner. */
  receive (from: InstanceId, frame: TeamServiceFrame): void {
    if (from === this.network.self.instance) return
    for (const { team, tokens } of frame.tokens) this.accounting.charge(team, tokens)
  }

  /** Tells the members of the data centre what was served here since the last time. */
  broadcast (): void {
    if (this.unsentTokens.size === 0) return
    const tokens = [...this.unsentTokens].slice(0, MOST_TEAMS_IN_A_FRAME).map(([team, amount]) => ({ team, tokens: amount }))
    for (const { team } of tokens) this.unsentTokens.delete(team)
    const { self } = this.network
    for (const member of this.membership.members()) {
      if (member.instance !== self.instance && member.dataCentre === self.dataCentre) {
        this.network.notify(member.instance, { kind: 'team-service', tokens })
      }
    }
  }
}
