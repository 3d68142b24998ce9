/** TCP relays between instances, one for each pair of dialler and target, that drop the traffic that a test selects. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

type Direction = 'to-target' | 'to-dialler'

/** One relay. It reads the bytes to be dropped and discards them, so that neither end sees an error. */
export class Relay {
  /** Number of connections accepted so far. */
  accepted = 0
  private blackholedBefore = 0
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  constructor (targetPort: number, private readonly isLost: (direction: Direction) => boolean) {
    this.server = createServer((near) => {
      this.accepted += 1
      const number = this.accepted
      const far = connect({ host: '127.0.0.1', port: targetPort, noDelay: true })
      this.join(near, far, 'to-target', number)
      this.join(far, near, 'to-dialler', number)
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', () => resolve()) })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Drops all further bytes of the connections that are open now, without closing them; new connections work. */
  blackholeOpenConnections (): void {
    this.blackholedBefore = this.accepted + 1
  }

  /** Breaks open connections and refuses new ones for a number of milliseconds; resolves when the relay listens again. */
  async breakFor (milliseconds: number): Promise<void> {
    const { port } = this.server.address() as AddressInfo
    await this.close()
    await sleep(milliseconds)
    await new Promise<void>((resolve) => { this.server.listen(port, '127.0.0.1', () => resolve()) })
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private join (from: Socket, to: Socket, direction: Direction, number: number): void {
    this.sockets.add(from)
    const drops = (): boolean => number < this.blackholedBefore || this.isLost(direction)
    from.on('data', (chunk) => { if (!drops()) to.write(chunk) })
    from.on('error', () => {})
    from.on('close', () => {
      this.sockets.delete(from)
      if (!drops()) to.destroy()
    })
  }
}

/** All relays of a cluster. */
export class Relays {
  private readonly relays = new Map<string, { relay: Relay, address: string }>()
  /** Directions whose traffic is dropped, as `from to`; they also apply to relays that are created later. */
  private readonly cuts = new Set<string>()

  /** @returns the address of the relay through which the dialler reaches the target */
  async route (dialler: string, target: string, address: string): Promise<string> {
    const key = `${dialler} ${target} ${address}`
    let route = this.relays.get(key)
    if (route === undefined) {
      const relay = new Relay(Number(address.split(':')[1]), (direction) =>
        this.cuts.has(direction === 'to-target' ? `${dialler} ${target}` : `${target} ${dialler}`))
      route = { relay, address: await relay.listen() }
      this.relays.set(key, route)
    }
    return route.address
  }

  /** @returns the relays through which the dialler reaches the target */
  between (dialler: string, target: string): Relay[] {
    return [...this.relays].filter(([key]) => key.startsWith(`${dialler} ${target} `)).map(([, { relay }]) => relay)
  }

  /** Drops everything that one instance sends to the other. */
  cut (from: string, to: string): void {
    this.cuts.add(`${from} ${to}`)
  }

  restore (from: string, to: string): void {
    this.cuts.delete(`${from} ${to}`)
  }

  async close (): Promise<void> {
    await Promise.all([...this.relays.values()].map(async ({ relay }) => await relay.close()))
  }
}
