/**
 * Decides which instances are hubs and forward notices for their data centre.
 *
 * With a connection between any two instances, the number of connections, heartbeats and copies of each notice grows with the
 * square of the fleet size. Therefore a few instances of each data centre are hubs: hubs are connected to each other, and every
 * other instance, a leaf, to one hub of its own data centre. Instances that know the same members compute the same plan without
 * exchanging messages.
 */
import type { DataCentreId } from '@limpetwinch/core'
import { rendezvousWeight } from '@limpetwinch/decisions'
import type { Member } from '../members/cluster-objects.js'

/**
 * Up to this number of members all instances are hubs: a path through a hub takes longer, and with so few instances, hubs would
 * save too few connections to make up for the delay.
 */
const FULL_MESH_MEMBERS = 20
/** Number of hubs in each data centre: two, so that one hub remains when the other is lost. */
const HUBS_PER_DATA_CENTRE = 2

/** The hubs of one set of members. */
export class HubPlan {
  /** Whether all instances are hubs. */
  readonly isMesh: boolean
  private readonly ranked: ReadonlyMap<DataCentreId, readonly Member[]>
  private readonly hubNames: ReadonlySet<string>

  /** @param members - all members registered in the store, including this instance */
  constructor (members: readonly Member[]) {
    this.isMesh = members.length <= FULL_MESH_MEMBERS
    const dataCentres = [...new Set(members.map(({ dataCentre }) => dataCentre))]
    this.ranked = new Map(dataCentres.map((dataCentre) => [dataCentre, members.filter((member) => member.dataCentre === dataCentre).toSorted(byCapacity)]))
    const most = this.isMesh ? Infinity : HUBS_PER_DATA_CENTRE
    this.hubNames = new Set([...this.ranked.values()].flatMap((each) => each.slice(0, most)).map(({ name }) => name))
  }

  /** @returns whether the instance of this name is a hub */
  isHub (name: string): boolean {
    return this.hubNames.has(name)
  }

  /** @returns all hubs */
  hubs (): readonly Member[] {
    return [...this.ranked.values()].flat().filter(({ name }) => this.isHub(name))
  }

  /**
   * @param name - name of the instance that looks for a hub
   * @param dataCentre - data centre of that instance
   * @returns instances to connect to, in order of preference: first the hubs, in an order that depends on the name and so spreads
   * the leaves over the hubs, then the other instances, those with the most cores first, for when no hub can be reached
   */
  candidatesFor (name: string, dataCentre: DataCentreId): readonly Member[] {
    const ranked = (this.ranked.get(dataCentre) ?? []).filter((member) => member.name !== name)
    const hubs = ranked.filter((member) => this.isHub(member.name))
    const others = ranked.filter((member) => !this.isHub(member.name))
    return [...hubs.toSorted((one, other) => rendezvousWeight(name, other.name) - rendezvousWeight(name, one.name)), ...others]
  }
}

/** Ranks the instances with the most cores first, because a hub sends each notice to many instances of its data centre. */
function byCapacity (one: Member, other: Member): number {
  return other.cores - one.cores || rendezvousWeight(other.dataCentre, other.name) - rendezvousWeight(one.dataCentre, one.name)
}
