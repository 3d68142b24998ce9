/** Assigns endpoints to owners with as few moves as possible and no owner far above the even share. */
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { rendezvousRank } from '../placement/rendezvous.js'
import type { OwnershipObject } from './ownership-object.js'
import type { OwnershipRecord } from './ownership.js'

/** Maximum number of endpoints of one owner, as a multiple of the even share (endpoints divided by candidates). */
const MAXIMUM_SHARE_FACTOR = 1.25

/** Input of an ownership plan. */
export interface PlanInput {
  /** The data centre's endpoints in the current settings. */
  readonly endpoints: readonly EndpointId[]
  /** Instances that may become owners. */
  readonly candidates: readonly InstanceId[]
  /** Whether an owner has been lost, so that its endpoints have to be taken over. */
  readonly lost: (owner: InstanceId) => boolean
  /** No lower token is assigned: guards against reused tokens when the store is restored after all instances have lost their state. */
  readonly minimumToken: number
}

/** The fields of an ownership object that a write changes. */
export type OwnershipChange = Pick<OwnershipObject, 'nextToken' | 'records'>

/**
 * Assigns endpoints that have no owner, or a lost one, to candidates. Endpoints of living owners stay where they are:
 * only the owner itself moves them, by a planned hand-over.
 *
 * @param object - the latest state
 * @param input - endpoints, candidates and lost owners
 * @returns the change, or undefined when there is nothing to change
 */
export function planTakeOver (object: OwnershipObject, input: PlanInput): OwnershipChange | undefined {
  const configured = new Set<string>(input.endpoints)
  const kept = object.records.filter((record) => configured.has(record.endpoint) && !input.lost(record.owner))
  const owned = new Set<string>(kept.map((record) => record.endpoint))
  const unowned = input.endpoints.filter((endpoint) => !owned.has(endpoint))
  if (input.candidates.length === 0) return undefined
  if (unowned.length === 0 && kept.length === object.records.length) return undefined
  const placed = place(unowned, kept, input)
  let nextToken = Math.max(object.nextToken, input.minimumToken)
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
 * @param object - the latest state
 * @param owner - the instance that hands over; not among the candidates when that instance is leaving
 * @param endpoints - the endpoints to hand over
 * @param input - endpoints, candidates and lost owners
 * @returns the change, or undefined when nothing can be moved
 */
export function planHandOver (object: OwnershipObject, owner: InstanceId, endpoints: readonly EndpointId[], input: PlanInput): OwnershipChange | undefined {
  const others = input.candidates.filter((candidate) => candidate !== owner)
  if (others.length === 0) return undefined
  const moving = new Set<string>(endpoints)
  const moved = object.records.filter((record) => record.owner === owner && moving.has(record.endpoint))
  if (moved.length === 0) return undefined
  const kept = object.records.filter((record) => !moved.includes(record))
  const earlier = new Map(moved.map((record) => [record.endpoint, record.token]))
  let nextToken = Math.max(object.nextToken, input.minimumToken)
  const records = place([...earlier.keys()], kept, { ...input, candidates: others }).map(({ endpoint, owner: next }): OwnershipRecord => {
    const token = nextToken as FencingToken
    nextToken += 1
    return { endpoint, owner: next, token, handedOverFrom: earlier.get(endpoint) }
  })
  return { nextToken, records: [...kept, ...records] }
}

/** @returns the endpoints that an owner should hand over because it owns more than the maximum share */
export function surplusOf (object: OwnershipObject, owner: InstanceId, input: PlanInput): readonly EndpointId[] {
  const owned = object.records.filter((record) => record.owner === owner).map((record) => record.endpoint)
  const surplus = owned.length - maximumShare(input)
  if (surplus <= 0 || input.candidates.length < 2) return []
  // Endpoints that hashing would assign to another instance are moved first, so that they need not move again.
  const placedByHashing = (endpoint: EndpointId): number => rendezvousRank(endpoint, input.candidates)[0] === owner ? 1 : 0
  return [...owned].sort((one, other) => placedByHashing(one) - placedByHashing(other)).slice(0, surplus)
}

/** @returns the maximum number of endpoints of one owner, rounded up */
function maximumShare (input: PlanInput): number {
  return Math.ceil(MAXIMUM_SHARE_FACTOR * input.endpoints.length / input.candidates.length)
}

/** Rendezvous hashing with bounded loads: each endpoint goes to its first-ranked candidate below the maximum share. */
function place (endpoints: readonly EndpointId[], kept: readonly OwnershipRecord[], input: PlanInput): { endpoint: EndpointId, owner: InstanceId }[] {
  const load = new Map<InstanceId, number>()
  for (const record of kept) load.set(record.owner, (load.get(record.owner) ?? 0) + 1)
  const bound = maximumShare(input)
  return endpoints.map((endpoint) => {
    const ranked = rendezvousRank(endpoint, input.candidates)
    const owner = ranked.find((candidate) => (load.get(candidate) ?? 0) < bound) ?? ranked[0]
    if (owner === undefined) throw new Error('an ownership plan needs at least one candidate')
    load.set(owner, (load.get(owner) ?? 0) + 1)
    return { endpoint, owner }
  })
}
