/**
 * Which instances pass notices on for their data centre.
 *
 * With a connection between any two instances, the connections, heartbeats and copies of each notice grow with the square of
 * the fleet. So a few instances of each data centre are hubs: hubs are connected to each other, every other instance to one
 * hub of its own data centre. All instances that know the same members make the same plan, without a word between them.
 */
import type { DataCentreId } from '@limpetwinch/core'
import { rendezvousWeight } from '@limpetwinch/decisions'
import type { Member } from '../members/cluster-objects.js'

/** Up to so many instances all are hubs: the way over a hub costs more time than the connections that it saves. */
const FULL_MESH_MEMBERS = 20
/** One may be lost while the other goes on. */
const HUBS_PER_DATA_CENTRE = 2

/** The plan for one set of members. */
export class HubPlan {
  /** Whether all instances are hubs. */
  readonly isMesh: boolean
  private readonly ranked: ReadonlyMap<DataCentreId, readonly Member[]>
  private readonly hubNames: ReadonlySet<string>

  /** @param members - all that are written down, this instance included */
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
   * @param name - of the instance that looks for a hub
   * @param dataCentre - where it is
   * @returns instances to ask, the first one first: the hubs in an order of its own, which spreads instances over them, then those
   * that follow in rank, for when the hubs cannot be reached
   */
  candidatesFor (name: string, dataCentre: DataCentreId): readonly Member[] {
    const ranked = (this.ranked.get(dataCentre) ?? []).filter((member) => member.name !== name)
    const hubs = ranked.filter((member) => this.isHub(member.name))
    const others = ranked.filter((member) => !this.isHub(member.name))
    return [...hubs.toSorted((one, other) => rendezvousWeight(name, other.name) - rendezvousWeight(name, one.name)), ...others]
  }
}

/** A hub writes each notice to all of its data centre, so the largest hosts come first. */
function byCapacity (one: Member, other: Member): number {
  return other.cores - one.cores || rendezvousWeight(other.dataCentre, other.name) - rendezvousWeight(one.dataCentre, one.name)
}
