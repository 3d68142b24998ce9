/** The asking side of a tunnel: an exchange of two chunked bodies as one stream in both directions. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Duplex } from 'node:stream'

/**
 * A connection to an endpoint that another instance carries. It ends in order only if the carrying instance has said so by the last chunk:
 * a carrying process that is killed or stopped closes its connections in order too, after a part of the endpoint's bytes.
 */
export class TunnelStream extends Duplex {
  private readonly outgoing: ClientRequest
  private readonly incoming: IncomingMessage
  private received = 0

  /**
   * @param outgoing - the request for the tunnel, whose body goes to the endpoint
   * @param incoming - its response, whose body comes from the endpoint
   */
  constructor (outgoing: ClientRequest, incoming: IncomingMessage) {
    super()
    this.outgoing = outgoing
    this.incoming = incoming
    incoming.on('data', (chunk: Buffer) => {
      this.received += chunk.length
      if (!this.push(chunk)) incoming.pause()
    })
    incoming.on('end', () => this.push(null))
    incoming.on('error', (error) => this.destroy(error))
  }

  /** Number of bytes that have arrived from the endpoint. */
  get bytesRead (): number {
    return this.received
  }

  override _read (): void {
    this.incoming.resume()
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    this.outgoing.write(chunk, callback)
  }

  override _final (callback: (error?: Error | null) => void): void {
    this.outgoing.end(callback)
  }

  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    this.outgoing.destroy()
    callback(error)
  }
}
