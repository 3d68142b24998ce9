/** Opens connections to endpoints. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { InstanceId } from '@limpetwinch/core'
import { dial } from '@limpetwinch/entry'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Endpoint } from '../routes/configuration.js'
import { provesOrderlyEnd } from './orderly-end.js'
import type { TunnelStream } from './tunnel-stream.js'

/**
 * Connection timeout. Data centres are a few milliseconds apart, so an endpoint that does not accept a connection within this time is
 * unreachable or has left.
 */
export const CONNECT_MILLISECONDS = 250

/** An open connection to an endpoint. */
export abstract class EndpointSocket {
  abstract readonly stream: Duplex & { readonly bytesRead: number }
  /** The instance whose tunnel carries the connection; undefined for a connection of this instance's own. */
  abstract readonly via: InstanceId | undefined

  /**
   * Called when the end of the stream was read, before the own side ends.
   *
   * @returns whether the endpoint closed the connection on purpose
   */
  abstract provesOrderlyEnd (): Promise<boolean>
}

/** A connection over this instance's own links. */
export class DirectSocket extends EndpointSocket {
  override readonly stream: Socket
  override readonly via = undefined

  constructor (stream: Socket) {
    super()
    this.stream = stream
  }

  override async provesOrderlyEnd (): Promise<boolean> {
    return await provesOrderlyEnd(this.stream)
  }
}

/** A connection that another instance carries. */
export class TunnelledSocket extends EndpointSocket {
  override readonly stream: TunnelStream
  override readonly via: InstanceId

  constructor (stream: TunnelStream, via: InstanceId) {
    super()
    this.stream = stream
    this.via = via
  }

  /** The stream ends only after the carrying instance has said that the endpoint closed in order; else it fails. */
  override async provesOrderlyEnd (): Promise<boolean> {
    return true
  }
}

/** Why no connection could be opened: the endpoint's host refused it, or nothing was heard from the endpoint. */
export type DialFailureKind = 'refused' | 'silent'

/** The error of a connection that could not be opened. */
export class DialError extends Error {
  readonly kind: DialFailureKind

  /** @param reason - for logs */
  constructor (kind: DialFailureKind, reason: string) {
    super(reason)
    this.kind = kind
  }
}

/** Opens connections to endpoints. */
export abstract class EndpointDialler {
  /**
   * @param endpoint - the endpoint to connect to
   * @param signal - cancels the attempt
   */
  abstract dial (endpoint: Endpoint, signal: AbortSignal): Promise<Result<EndpointSocket, DialError>>
}

/** Opens connections over this instance's own links only. */
export class DirectDialler extends EndpointDialler {
  private readonly milliseconds: number

  /** @param milliseconds - time limit for opening a connection */
  constructor (milliseconds = CONNECT_MILLISECONDS) {
    super()
    this.milliseconds = milliseconds
  }

  override async dial (endpoint: Endpoint, signal: AbortSignal): Promise<Result<EndpointSocket, DialError>> {
    const dialled = await dial(endpoint.address, this.milliseconds, signal)
    if (dialled.isOk()) return ok(new DirectSocket(dialled.value))
    const { code, message } = dialled.error
    return err(new DialError(code === 'ECONNREFUSED' ? 'refused' : 'silent', `no connection to ${endpoint.address}: ${message}`))
  }
}
