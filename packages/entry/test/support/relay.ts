/** TCP relays between instances, one for each dialler and target, that lose what a test tells them to. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

type Direction = 'to-target' | 'to-dialler'

/** One relay. What is lost is read and thrown away, so that neither end sees an error. */
export class Relay {
  /** Connections taken so far. */
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

  /** Connections that are open now go silent for good; new ones work. */
  blackholeOpenConnections (): void {
    this.blackholedBefore = this.accepted + 1
  }

  /** Breaks open connections and refuses new ones for so many milliseconds; resolves when it listens again. */
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
    const silent = (): boolean => number < this.blackholedBefore || this.isLost(direction)
    from.on('data', (chunk) => { if (!silent()) to.write(chunk) })
    from.on('error', () => {})
    from.on('close', () => {
      this.sockets.delete(from)
      if (!silent()) to.destroy()
    })
  }
}

/** All relays of a cluster. */
export class Relays {
  private readonly relays = new Map<string, { relay: Relay, address: string }>()
  /** `from to`, also for relays that are made later. */
  private readonly cuts = new Set<string>()

  /** @returns the address under which the dialler reaches the target */
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

  /** @returns the relays on which one dials the other */
  between (dialler: string, target: string): Relay[] {
    return [...this.relays].filter(([key]) => key.startsWith(`${dialler} ${target} `)).map(([, { relay }]) => relay)
  }

  /** Loses all that one sends to the other. */
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
