/** The product's own objects in the store as they are known here, read or told by a peer. */
import { clusterPath, clusterVersion } from '../members/cluster-objects.js'
import type { ClusterObject, LoadOwner, Member, StoredQuarantineDecision } from '../members/cluster-objects.js'

/** Hears of each newer state. */
export type ClusterListener = (objects: ClusterObjectsByKind, revision: number) => void

/** All objects by their kind. */
export interface ClusterObjectsByKind {
  readonly members: readonly Member[]
  readonly loadOwners: readonly LoadOwner[]
  readonly quarantineDecisions: readonly StoredQuarantineDecision[]
}

/** Members, holders and verdicts at one revision of the store; it never goes back. */
export class ClusterView {
  private readonly listener: ClusterListener
  private objects = new Map<string, ClusterObject>()
  private revisionSeen = 0

  /** @param listener - hears of each newer state */
  constructor (listener: ClusterListener) {
    this.listener = listener
  }

  /** @returns the store's revision of the newest state; 0 before the first */
  get revision (): number {
    return this.revisionSeen
  }

  /** Takes all objects as the store listed them. */
  apply (objects: Iterable<ClusterObject>, revision: number): void {
    if (revision < this.revisionSeen) return
    this.revisionSeen = revision
    this.objects = new Map([...objects].map((object) => [clusterPath(object), object]))
    this.tell()
  }

  /**
   * Takes what has changed since the revision known here.
   *
   * @param changed - the objects that changed
   * @param present - paths of all objects
   */
  merge (changed: readonly ClusterObject[], present: readonly string[], revision: number): void {
    if (revision <= this.revisionSeen) return
    const newer = new Map([...this.objects, ...changed.map((object): [string, ClusterObject] => [clusterPath(object), object])])
    this.apply(present.flatMap((path) => newer.get(path) ?? []), revision)
  }

  /** @returns objects that changed after the revision */
  since (revision: number): readonly ClusterObject[] {
    return [...this.objects.values()].filter((object) => clusterVersion(object) > revision)
  }

  /** @returns paths of all objects */
  paths (): readonly string[] {
    return [...this.objects.keys()]
  }

  private tell (): void {
    const all = [...this.objects.values()]
    const members = all.flatMap((object) => object.kind === 'member' ? [object.member] : [])
    const holders = all.flatMap((object) => object.kind === 'holder' ? [object.holder] : [])
    const verdicts = all.flatMap((object) => object.kind === 'verdict' ? [object.verdict] : [])
    this.listener({ members, loadOwners: holders, quarantineDecisions: verdicts }, this.revisionSeen)
  }
}
