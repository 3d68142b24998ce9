/**
 * The product's own objects in the platform's store: one for each instance, one for each engine's holder of orders, and one for each
 * request that is kept from endpoints.
 */
import type { DataCentreId, EndpointId, FencingToken, InstanceId, StoredObject } from '@limpetwinch/core'
import type { QuarantineDecision, RequestFingerprint } from '@limpetwinch/decisions'
import { z } from 'zod'

/** One kind for all, so that one watch follows them. */
export const CLUSTER_KIND = 'limpetwinch-cluster'

const memberSchema = z.object({ instance: z.string(), address: z.string(), dataCentre: z.string(), cores: z.number().optional() })
const loadOwnerSchema = z.object({ holder: z.string(), previous: z.string().optional(), claimedAt: z.number() })
const quarantineDecisionSchema = z.object({ crashes: z.number(), strikes: z.number(), certain: z.boolean(), untilWallTime: z.number() })

/** An instance, as it wrote itself down at its start. */
export interface Member {
  /** The host's name; it outlives the process. */
  readonly name: string
  /** The process. */
  readonly instance: InstanceId
  /** `host:port` for peers. */
  readonly address: string
  readonly dataCentre: DataCentreId
  /** What the host gives the process, in cores; 0 where it does not say. */
  readonly cores: number
  readonly version: number
}

/** Who orders an engine's loads. */
export interface LoadOwner {
  readonly endpoint: EndpointId
  /** Name of the member. */
  readonly holder: string
  /** Who held it before; undefined when nobody did. */
  readonly previous: string | undefined
  /** Wall clock of the claim, milliseconds. */
  readonly claimedAt: number
  /** The object's version: the store hands each out once and in growing order, which is what a fencing token needs. */
  readonly token: FencingToken
}

/** A verdict on a request, as it stands in the store. */
export interface StoredQuarantineDecision extends Omit<QuarantineDecision, 'until'> {
  /** Wall clock, milliseconds. */
  readonly untilWallTime: number
  readonly version: number
}

/** One object of the kind. */
export type ClusterObject =
  | { readonly kind: 'member', readonly member: Member }
  | { readonly kind: 'holder', readonly holder: LoadOwner }
  | { readonly kind: 'verdict', readonly verdict: StoredQuarantineDecision }

/** @returns the path of an object */
export function clusterPath (object: ClusterObject): string {
  if (object.kind === 'member') return memberPath(object.member.name)
  return object.kind === 'holder' ? loadOwnerPath(object.holder.endpoint) : quarantineDecisionPath(object.verdict.fingerprint)
}

/** @returns the object's version, which is the store's revision of its last change */
export function clusterVersion (object: ClusterObject): number {
  if (object.kind === 'member') return object.member.version
  return object.kind === 'holder' ? object.holder.token : object.verdict.version
}

/** @returns the path of a member's object */
export function memberPath (name: string): string {
  return `${CLUSTER_KIND}/member.${name}`
}

/** @returns the path of an engine's holder object */
export function loadOwnerPath (endpoint: EndpointId): string {
  return `${CLUSTER_KIND}/holder.${endpoint}`
}

/** @returns the path of a verdict's object */
export function quarantineDecisionPath (fingerprint: RequestFingerprint): string {
  return `${CLUSTER_KIND}/verdict.${fingerprint}`
}

/** @returns the object's meaning, or undefined when it has none */
export function decodeClusterObject (object: StoredObject): ClusterObject | undefined {
  const name = object.path.slice(CLUSTER_KIND.length + 1)
  const dot = name.indexOf('.')
  const subject = name.slice(dot + 1)
  if (name.startsWith('member.')) {
    const decoded = memberSchema.safeParse(object.value)
    if (!decoded.success) return undefined
    const { instance, address, dataCentre, cores = 0 } = decoded.data
    return { kind: 'member', member: { name: subject, instance: instance as InstanceId, address, dataCentre: dataCentre as DataCentreId, cores, version: object.version } }
  }
  if (name.startsWith('verdict.')) {
    const decoded = quarantineDecisionSchema.safeParse(object.value)
    return decoded.success ? { kind: 'verdict', verdict: { fingerprint: subject as RequestFingerprint, ...decoded.data, version: object.version } } : undefined
  }
  const decoded = loadOwnerSchema.safeParse(object.value)
  if (!decoded.success) return undefined
  const { holder, previous, claimedAt } = decoded.data
  return { kind: 'holder', holder: { endpoint: subject as EndpointId, holder, previous, claimedAt, token: object.version as FencingToken } }
}
