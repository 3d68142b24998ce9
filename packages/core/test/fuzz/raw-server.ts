/** A server that answers with bytes as given, well formed or not. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** What to do with each connection after its request came. */
export type ConnectionHandler = (socket: Socket) => void | Promise<void>

/** Speaks no HTTP of its own. */
export class RawServer {
  /** How the next connections are answered. */
  answer: ConnectionHandler = (socket) => { socket.destroy() }
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer((socket) => {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.once('data', () => this.answer(socket))
  })

  /** @returns the URL */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Ends all connections. */
  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }
}

/** Answers with a status and a body that ends with the connection, in the pieces given. */
export function respondWith (status: number, pieces: readonly Uint8Array[]): ConnectionHandler {
  return async (socket) => {
    socket.write(`HTTP/1.1 ${status} Status\r\nconnection: close\r\n\r\n`)
    for (const piece of pieces) {
      socket.write(piece)
      await new Promise<void>((resolve) => { setImmediate(resolve) })
    }
    socket.end()
  }
}

/** Answers with a body that never ends, until the reader has gone; says how many bytes it took. */
export function endlessBody (status: number, start: string, filler: string): { answer: ConnectionHandler, bytesTaken: Promise<number> } {
  let tell: (bytes: number) => void = () => {}
  const bytesTaken = new Promise<number>((resolve) => { tell = resolve })
  const block = Buffer.from(filler.repeat(Math.ceil(65_536 / filler.length)))
  const answer: ConnectionHandler = (socket) => {
    socket.on('close', () => tell(socket.bytesWritten))
    socket.write(`HTTP/1.1 ${status} Status\r\nconnection: close\r\n\r\n${start}`)
    const pump = (): void => {
      while (!socket.destroyed && socket.bytesWritten < MAXIMUM_SENT_BYTES && socket.write(block)) { /* until the buffers are full */ }
      if (socket.destroyed) return
      if (socket.bytesWritten >= MAXIMUM_SENT_BYTES) socket.end()
      else socket.once('drain', pump)
    }
    pump()
  }
  return { answer, bytesTaken }
}

/** Far beyond what any reader may take, so that a reader without a bound fails a test and not the machine. */
export const MAXIMUM_SENT_BYTES = 256 * 1024 * 1024
