/** The cluster objects of the store as this instance knows them, read from the store or received from a peer. */
import { clusterPath, clusterVersion } from '../members/cluster-objects.js'
import type { ClusterObject, LoadOwner, Member, StoredQuarantineDecision } from '../members/cluster-objects.js'

/** Called with all cluster objects and the store revision at which they were read, whenever newer ones are applied. */
export type ClusterListener = (objects: ClusterObjectsByKind, revision: number) => void

/** All cluster objects by kind. */
export interface ClusterObjectsByKind {
  readonly members: readonly Member[]
  readonly loadOwners: readonly LoadOwner[]
  readonly quarantineDecisions: readonly StoredQuarantineDecision[]
}

/** Members, load owners and quarantine decisions at one revision of the store. The revision never decreases. */
export class ClusterView {
  private readonly listener: ClusterListener
  private objects = new Map<string, ClusterObject>()
  private currentRevision = 0

  /** @param listener - called whenever newer cluster objects are applied */
  constructor (listener: ClusterListener) {
    this.listener = listener
  }

  /** @returns the store revision of the current objects; 0 before the first listing */
  get revision (): number {
    return this.currentRevision
  }

  /** Replaces all objects by a listing of the store, unless the listing is older than the current objects. */
  apply (objects: Iterable<ClusterObject>, revision: number): void {
    if (revision < this.currentRevision) return
    this.currentRevision = revision
    this.objects = new Map([...objects].map((object) => [clusterPath(object), object]))
    this.notifyListener()
  }

  /**
   * Applies the changes since the current revision.
   *
   * @param changed - the objects that changed
   * @param present - paths of all objects; every other known object is removed
   */
  merge (changed: readonly ClusterObject[], present: readonly string[], revision: number): void {
    if (revision <= this.currentRevision) return
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

  private notifyListener (): void {
    const all = [...this.objects.values()]
    const members = all.flatMap((object) => object.kind === 'member' ? [object.member] : [])
    const loadOwners = all.flatMap((object) => object.kind === 'holder' ? [object.holder] : [])
    const quarantineDecisions = all.flatMap((object) => object.kind === 'verdict' ? [object.verdict] : [])
    this.listener({ members, loadOwners, quarantineDecisions }, this.currentRevision)
  }
}
