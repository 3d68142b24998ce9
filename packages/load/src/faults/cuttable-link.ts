/** A way between one instance and the platform that can be cut. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Passes TCP connections on until it is cut; then nothing passes, and nobody is told. */
export class CuttableLink {
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer((near) => this.accept(near))
  private readonly target: URL
  private isCut = false

  /** @param target - URL of the far end */
  constructor (target: string) {
    this.target = new URL(target)
  }

  /** @returns the URL of the near end */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return this.listening
  }

  /** The URL of the near end, once it listens. */
  get listening (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Resets all connections that are open now; new ones work. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** From now on bytes go nowhere, on open and on new connections. */
  cut (): void {
    this.isCut = true
    for (const socket of this.sockets) socket.pause()
  }

  /** Lets new connections through; those open during the cut are lost. */
  restore (): void {
    this.isCut = false
    for (const socket of this.sockets) socket.destroy()
  }

  /** Ends all. */
  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private accept (near: Socket): void {
    this.keep(near)
    if (this.isCut) {
      near.pause()
      return
    }
    const far = connect(Number(this.target.port), this.target.hostname)
    this.keep(far)
    pass(near, far)
    pass(far, near)
  }

  private keep (socket: Socket): void {
    socket.setNoDelay(true)
    this.sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.sockets.delete(socket))
  }
}

function pass (from: Socket, to: Socket): void {
  from.pipe(to)
  from.on('close', () => to.destroy())
}
