/**
 * The objects in the platform's store by which the instances of one cluster know about each other and coordinate: one object per
 * instance (a member), one per engine (its load owner), and one per quarantined request (the quarantine decision). Contains their
 * types, store paths and decoding.
 */
import type { DataCentreId, EndpointId, FencingToken, InstanceId, StoredObject } from '@limpetwinch/core'
import type { QuarantineDecision, Suspect } from '@limpetwinch/decisions'
import { z } from 'zod'
import type { EngineName } from './engine-names.js'

/** Object kind shared by all these objects, so that one watch of the store covers them all. */
export const CLUSTER_KIND = 'limpetwinch-cluster'

const memberSchema = z.object({ instance: z.string(), address: z.string(), dataCentre: z.string(), cores: z.number().optional(), chunkedTunnelAddress: z.string().optional(), remembersStreams: z.boolean().optional() })
const engineNameSchema = z.object({ service: z.string(), softwareVersion: z.string() })
const loadOwnerSchema = z.object({
  holder: z.string(), previous: z.string().optional(), claimedAt: z.number(), born: z.number().optional(), engine: engineNameSchema.optional(), earlierEngines: z.array(engineNameSchema).optional()
})
const quarantineDecisionSchema = z.object({ crashes: z.number(), strikes: z.number(), certain: z.boolean(), untilWallTime: z.number() })

/** An instance, as it registered itself in the store at its start. */
export interface Member {
  /** Name of the host; it stays the same over restarts of the process. */
  readonly name: string
  /** Id of the process. */
  readonly instance: InstanceId
  /** `host:port` on which the instance accepts connections of its peers. */
  readonly address: string
  /**
   * `host:port` at which the instance accepts requests for tunnels; undefined when it opens none. Instances of earlier releases registered
   * `tunnelAddress`: their tunnels do not tell the end of the endpoint's bytes from that of the carrying process, so they are not asked.
   */
  readonly chunkedTunnelAddress?: string | undefined
  /** Whether the instance remembers where streams of other instances began; undefined for an instance of an earlier release. */
  readonly remembersStreams?: boolean | undefined
  readonly dataCentre: DataCentreId
  /** Processor share that the host grants the process, in cores; 0 when unknown. */
  readonly cores: number
  readonly version: number
}

/** The load owner of an engine. */
export interface LoadOwner {
  readonly endpoint: EndpointId
  /** Member name of the load owner. */
  readonly holder: string
  /** Member name of the previous load owner; undefined when there was none. */
  readonly previous: string | undefined
  /** Wall clock time of the claim, milliseconds. */
  readonly claimedAt: number
  /** Start time of the engine's process when the token was issued, Unix milliseconds; undefined in a claim of an earlier release. */
  readonly born?: number | undefined
  /** What the engine ran at the time of the claim; undefined in a claim of an earlier release. */
  readonly engine?: EngineName | undefined
  /** What earlier processes of the engine ran, the latest first; undefined when there is none. */
  readonly earlierEngines?: readonly EngineName[] | undefined
  /** Version of the stored object. The store issues each version once and in increasing order, as a fencing token requires. */
  readonly token: FencingToken
}

/** A quarantine decision on a request or a part of prompts, as stored. */
export interface StoredQuarantineDecision extends Omit<QuarantineDecision, 'until'> {
  /** Wall clock time at which the quarantine ends, milliseconds. */
  readonly untilWallTime: number
  readonly version: number
}

/** One decoded object: a member, a load owner or a quarantine decision. */
export type ClusterObject =
  | { readonly kind: 'member', readonly member: Member }
  | { readonly kind: 'holder', readonly holder: LoadOwner }
  | { readonly kind: 'verdict', readonly verdict: StoredQuarantineDecision }

/** @returns the store path of an object */
export function clusterPath (object: ClusterObject): string {
  if (object.kind === 'member') return memberPath(object.member.name)
  return object.kind === 'holder' ? loadOwnerPath(object.holder.endpoint) : quarantineDecisionPath(object.verdict.fingerprint)
}

/** @returns the version of an object, which is the store revision of its last change */
export function clusterVersion (object: ClusterObject): number {
  if (object.kind === 'member') return object.member.version
  return object.kind === 'holder' ? object.holder.token : object.verdict.version
}

/** @returns the store path of a member's object */
export function memberPath (name: string): string {
  return `${CLUSTER_KIND}/member.${name}`
}

/** @returns the store path of an engine's load owner object */
export function loadOwnerPath (endpoint: EndpointId): string {
  return `${CLUSTER_KIND}/holder.${endpoint}`
}

/** @returns the store path of the quarantine decision on a request or a part of prompts */
export function quarantineDecisionPath (fingerprint: Suspect): string {
  return `${CLUSTER_KIND}/verdict.${fingerprint}`
}

/** @returns the decoded object; undefined when its value is malformed */
export function decodeClusterObject (object: StoredObject): ClusterObject | undefined {
  const name = object.path.slice(CLUSTER_KIND.length + 1)
  const dot = name.indexOf('.')
  const subject = name.slice(dot + 1)
  if (name.startsWith('member.')) {
    const decoded = memberSchema.safeParse(object.value)
    if (!decoded.success) return undefined
    const { instance, address, dataCentre, cores = 0, chunkedTunnelAddress, remembersStreams } = decoded.data
    return {
      kind: 'member',
      member: { name: subject, instance: instance as InstanceId, address, dataCentre: dataCentre as DataCentreId, cores, chunkedTunnelAddress, remembersStreams, version: object.version }
    }
  }
  if (name.startsWith('verdict.')) {
    const decoded = quarantineDecisionSchema.safeParse(object.value)
    return decoded.success ? { kind: 'verdict', verdict: { fingerprint: subject as Suspect, ...decoded.data, version: object.version } } : undefined
  }
  const decoded = loadOwnerSchema.safeParse(object.value)
  if (!decoded.success) return undefined
  const { holder, previous, claimedAt, born } = decoded.data
  const { engine, earlierEngines } = decoded.data as Pick<LoadOwner, 'engine' | 'earlierEngines'>
  return { kind: 'holder', holder: { endpoint: subject as EndpointId, holder, previous, claimedAt, born, engine, earlierEngines, token: object.version as FencingToken } }
}
