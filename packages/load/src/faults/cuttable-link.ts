/** A TCP proxy that can cut the connection between two programs. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Both ends of one open connection. */
interface OpenPair {
  readonly incoming: Socket
  readonly outgoing: Socket
  /** The last bytes that the caller has sent. */
  lastSent: string
}

/** Forwards TCP connections until the link is cut. A cut link transfers no bytes, and neither end receives an error. */
export class CuttableLink {
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer((incoming) => this.accept(incoming))
  private readonly target: URL
  private readonly pairs = new Set<OpenPair>()
  private isCut = false

  /** @param target - URL of the program that connections are forwarded to */
  constructor (target: string) {
    this.target = new URL(target)
  }

  /** @returns the URL under which the link accepts connections */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return this.listening
  }

  /** URL under which the link accepts connections; valid after `listen`. */
  get listening (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Resets all open connections; new connections work. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /**
   * Lets open connections fall silent: they transfer no more bytes, and neither end receives an error. New connections work.
   *
   * @param picks - decides for each open connection, by what its caller has sent last, whether it falls silent; all of them do by default
   */
  silenceOpen (picks: (lastSent: string) => boolean = () => true): void {
    for (const { incoming, outgoing, lastSent } of this.pairs) {
      if (!picks(lastSent)) continue
      for (const socket of [incoming, outgoing]) socket.unpipe().pause()
    }
  }

  /** Stops transferring bytes, on open connections and on new ones. */
  cut (): void {
    this.isCut = true
    for (const socket of this.sockets) socket.pause()
  }

  /** Restores the link for new connections and closes those that were open during the cut. */
  restore (): void {
    this.isCut = false
    for (const socket of this.sockets) socket.destroy()
  }

  /** Closes all connections and stops listening. */
  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private accept (incoming: Socket): void {
    this.track(incoming)
    if (this.isCut) {
      incoming.pause()
      return
    }
    const outgoing = connect(Number(this.target.port), this.target.hostname)
    this.track(outgoing)
    forward(incoming, outgoing)
    forward(outgoing, incoming)
    const pair: OpenPair = { incoming, outgoing, lastSent: '' }
    this.pairs.add(pair)
    incoming.on('data', (chunk: Buffer) => { pair.lastSent = chunk.toString('latin1') })
    incoming.on('close', () => this.pairs.delete(pair))
  }

  private track (socket: Socket): void {
    socket.setNoDelay(true)
    this.sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.sockets.delete(socket))
  }
}

function forward (from: Socket, to: Socket): void {
  from.pipe(to)
  from.on('close', () => to.destroy())
}
