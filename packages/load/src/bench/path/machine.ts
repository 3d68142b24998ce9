/** Description of the machine and its socket cost, which are needed to compare processor figures between machines. */
import { createServer, connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { availableParallelism, loadavg } from 'node:os'
import { setImmediate as turn } from 'node:timers/promises'

/** Properties of the machine at the start of a bench. */
export interface Machine {
  readonly processors: number
  readonly node: string
  /** Load average of the minute before the bench. */
  readonly loadAverage: number
  /** Processor time of one small write to a loopback socket and its read, both in one process, microseconds. */
  readonly socketMicroseconds: number
}

const WRITES = 20_000
const TOKEN_EVENT_BYTES = 200

/** @returns the properties of the machine, measured in this process */
export async function describeMachine (): Promise<Machine> {
  const loadAverage = loadavg()[0] ?? 0
  return { processors: availableParallelism(), node: process.version, loadAverage, socketMicroseconds: await measureSocket() }
}

async function measureSocket (): Promise<number> {
  const server = createServer((socket) => { socket.resume() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  await new Promise<void>((resolve) => { socket.once('connect', resolve) })
  await writeMany(socket)
  const before = process.cpuUsage()
  await writeMany(socket)
  const used = process.cpuUsage(before)
  socket.destroy()
  server.close()
  return (used.user + used.system) / WRITES
}

async function writeMany (socket: Socket): Promise<void> {
  const event = 'x'.repeat(TOKEN_EVENT_BYTES)
  for (let write = 0; write < WRITES; write += 1) {
    socket.write(event)
    await turn()
  }
}
