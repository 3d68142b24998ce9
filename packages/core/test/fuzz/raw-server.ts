/** A server that responds with arbitrary bytes, which may be malformed. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Handles a connection after the first bytes of its request have arrived. */
export type ConnectionHandler = (socket: Socket) => void | Promise<void>

/** A TCP server that leaves the whole response, including HTTP headers, to its connection handler. */
export class RawServer {
  /** The handler of the next connections. */
  answer: ConnectionHandler = (socket) => { socket.destroy() }
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer((socket) => {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.once('data', () => this.answer(socket))
  })

  /** @returns the base URL of the server */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes all connections and the server. */
  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }
}

/** @returns a handler that responds with a status and a body in the given pieces, and then ends the connection */
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

/** @returns a handler that responds with an endless body, and the number of bytes sent until the reader closed the connection */
export function endlessBody (status: number, start: string, filler: string): { answer: ConnectionHandler, bytesTaken: Promise<number> } {
  let reportBytes: (bytes: number) => void = () => {}
  const bytesTaken = new Promise<number>((resolve) => { reportBytes = resolve })
  const block = Buffer.from(filler.repeat(Math.ceil(65_536 / filler.length)))
  const answer: ConnectionHandler = (socket) => {
    socket.on('close', () => reportBytes(socket.bytesWritten))
    socket.write(`HTTP/1.1 ${status} Status\r\nconnection: close\r\n\r\n${start}`)
    const pump = (): void => {
      while (!socket.destroyed && socket.bytesWritten < MAXIMUM_SENT_BYTES && socket.write(block)) { /* writes until the socket's buffer is full */ }
      if (socket.destroyed) return
      if (socket.bytesWritten >= MAXIMUM_SENT_BYTES) socket.end()
      else socket.once('drain', pump)
    }
    pump()
  }
  return { answer, bytesTaken }
}

/** Limit of an endless body: far more than any reader may read, so that a reader without a limit fails its test before it exhausts memory. */
export const MAXIMUM_SENT_BYTES = 256 * 1024 * 1024
