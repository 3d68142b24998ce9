/** Decides whether this instance opens a tunnel for another one, and connects it to the endpoint. */
import type { EndpointId, InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { EndpointDialler, EndpointSocket } from './endpoint-dialler.js'
import type { EndpointPaths } from './endpoint-paths.js'
import type { TunnelRefusal } from './tunnel-client.js'

/** Most tunnels at one time; each uses two connections and their buffers. */
const MAXIMUM_TUNNELS = 500

/** What the admission needs of the instance. */
export interface TunnelAdmissionDependencies {
  readonly directory: Pick<EndpointDirectory, 'find'>
  readonly paths: Pick<EndpointPaths, 'isLost' | 'recordReached'>
  /** @returns whether the endpoint has asked this instance to back off */
  readonly isBackingOff: (endpoint: EndpointId) => boolean
  /** Opens connections over the own links only, so that no connection takes a second detour. */
  readonly dialler: EndpointDialler
  /** @returns the host from which the instance connects; undefined when it is no registered member */
  readonly hostOf: (instance: InstanceId) => string | undefined
}

/** A request for a tunnel. */
export interface TunnelAsk {
  readonly endpoint: EndpointId
  /** The instance that the request names; undefined when it names none. */
  readonly from: string | undefined
  /** Host that the request comes from. */
  readonly host: string | undefined
  /** Number of tunnels that are open or being opened, this one among them. */
  readonly tunnels: number
  /** Aborted when the asking instance leaves. */
  readonly signal: AbortSignal
}

/** Admits requests of registered instances for endpoints that this instance reaches. */
export class TunnelAdmission {
  private readonly parts: TunnelAdmissionDependencies
  private isStopping = false

  constructor (parts: TunnelAdmissionDependencies) {
    this.parts = parts
  }

  /** Admits no further requests. */
  stop (): void {
    this.isStopping = true
  }

  /** @returns a connection to the endpoint, or why there is none */
  async connect (ask: TunnelAsk): Promise<Result<EndpointSocket, TunnelRefusal>> {
    const { directory, paths, dialler, isBackingOff } = this.parts
    const endpoint = directory.find(ask.endpoint)
    if (this.isStopping || ask.tunnels > MAXIMUM_TUNNELS || !this.isMember(ask) || endpoint === undefined || endpoint.leaving) return err('unavailable')
    if (isBackingOff(endpoint.id)) return err('unavailable')
    if (paths.isLost(endpoint.id)) return err('no-path')
    const dialled = await dialler.dial(endpoint, ask.signal)
    // A failure is only told to the asking instance. If it made this instance ask others, instances would ask each other for ever.
    if (dialled.isErr()) return err(dialled.error.kind)
    paths.recordReached(endpoint.id)
    return ok(dialled.value)
  }

  /** @returns whether the request comes from the host of the registered instance that it names */
  private isMember ({ from, host }: TunnelAsk): boolean {
    return from !== undefined && host !== undefined && this.parts.hostOf(from as InstanceId) === host
  }
}
