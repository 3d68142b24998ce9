/** Who should own what: as few moves as possible, and no owner far above its share. */
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { rendezvousRank } from '../placement/rendezvous.js'
import type { OwnershipObject } from './ownership-object.js'
import type { OwnershipRecord } from './ownership.js'

/** An owner may hold this much more than an even share before endpoints are moved away from it. */
const MAXIMUM_SHARE_FACTOR = 1.25

/** What a plan is made from. */
export interface PlanInput {
  /** The data centre's endpoints by the settings in force. */
  readonly endpoints: readonly EndpointId[]
  /** Instances that may be given endpoints. */
  readonly candidates: readonly InstanceId[]
  /** Whether an owner has been lost, so that its endpoints are to be taken over. */
  readonly lost: (owner: InstanceId) => boolean
  /** No token below this is given: guards against a store restored after all memory was lost. */
  readonly minimumToken: number
}

/** What a write changes of an ownership object. */
export type OwnershipChange = Pick<OwnershipObject, 'nextToken' | 'records'>

/**
 * Gives endpoints without an owner, or with a lost one, to candidates. Endpoints of living owners stay where they are:
 * only an owner itself gives away what it has, by a planned hand-over.
 *
 * @param object - the newest state
 * @param ground - what to plan from
 * @returns the change, or undefined when there is nothing to change
 */
export function planTakeOver (object: OwnershipObject, ground: PlanInput): OwnershipChange | undefined {
  const known = new Set<string>(ground.endpoints)
  const kept = object.records.filter((record) => known.has(record.endpoint) && !ground.lost(record.owner))
  const owned = new Set<string>(kept.map((record) => record.endpoint))
  const open = ground.endpoints.filter((endpoint) => !owned.has(endpoint))
  if (ground.candidates.length === 0) return undefined
  if (open.length === 0 && kept.length === object.records.length) return undefined
  const placed = place(open, kept, ground)
  let nextToken = Math.max(object.nextToken, ground.minimumToken)
  const records = placed.map(({ endpoint, owner }): OwnershipRecord => {
    const token = nextToken as FencingToken
    nextToken += 1
    return { endpoint, owner, token, handedOverFrom: undefined }
  })
  return { nextToken, records: [...kept, ...records] }
}

/**
 * Moves some of one owner's endpoints to others by planned hand-over.
 *
 * @param object - the newest state
 * @param owner - who hands over; not among the candidates when it leaves
 * @param endpoints - what it hands over
 * @param ground - what to plan from
 * @returns the change, or undefined when nothing can be moved
 */
export function planHandOver (object: OwnershipObject, owner: InstanceId, endpoints: readonly EndpointId[], ground: PlanInput): OwnershipChange | undefined {
  const others = ground.candidates.filter((candidate) => candidate !== owner)
  if (others.length === 0) return undefined
  const moving = new Set<string>(endpoints)
  const moved = object.records.filter((record) => record.owner === owner && moving.has(record.endpoint))
  if (moved.length === 0) return undefined
  const kept = object.records.filter((record) => !moved.includes(record))
  const earlier = new Map(moved.map((record) => [record.endpoint, record.token]))
  let nextToken = Math.max(object.nextToken, ground.minimumToken)
  const records = place([...earlier.keys()], kept, { ...ground, candidates: others }).map(({ endpoint, owner: next }): OwnershipRecord => {
    const token = nextToken as FencingToken
    nextToken += 1
    return { endpoint, owner: next, token, handedOverFrom: earlier.get(endpoint) }
  })
  return { nextToken, records: [...kept, ...records] }
}

/** @returns which of an owner's endpoints it should hand over because it holds far more than its share */
export function surplusOf (object: OwnershipObject, owner: InstanceId, ground: PlanInput): readonly EndpointId[] {
  const owned = object.records.filter((record) => record.owner === owner).map((record) => record.endpoint)
  const surplus = owned.length - maximumShare(ground)
  if (surplus <= 0 || ground.candidates.length < 2) return []
  // Those that hashing would place elsewhere go first, so that they need not move again.
  const misplaced = (endpoint: EndpointId): number => rendezvousRank(endpoint, ground.candidates)[0] === owner ? 1 : 0
  return [...owned].sort((one, other) => misplaced(one) - misplaced(other)).slice(0, surplus)
}

function maximumShare (ground: PlanInput): number {
  return Math.ceil(MAXIMUM_SHARE_FACTOR * ground.endpoints.length / ground.candidates.length)
}

/** Rendezvous hashing with bounded load: the first choice that is not full. */
function place (endpoints: readonly EndpointId[], kept: readonly OwnershipRecord[], ground: PlanInput): { endpoint: EndpointId, owner: InstanceId }[] {
  const load = new Map<InstanceId, number>()
  for (const record of kept) load.set(record.owner, (load.get(record.owner) ?? 0) + 1)
  const bound = maximumShare(ground)
  return endpoints.map((endpoint) => {
    const ranked = rendezvousRank(endpoint, ground.candidates)
    const owner = ranked.find((candidate) => (load.get(candidate) ?? 0) < bound) ?? ranked[0]
    if (owner === undefined) throw new Error('a plan without candidates')
    load.set(owner, (load.get(owner) ?? 0) + 1)
    return { endpoint, owner }
  })
}
