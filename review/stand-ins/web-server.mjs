/** A stand-in for a server of a plain service, as PROTOCOL.md and the messages of `fleetbench wire` describe it. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { WEB } from './deployment.mjs'

const HEARTBEAT_MILLISECONDS = 1_200

/** A server that works on `slots` requests at one time and sheds all others. */
export class WebServer {
  /** @param options - `host`, `name`, `slots`, `workMilliseconds`, `zone` */
  constructor (record, store, options) {
    this.record = record
    this.store = store
    this.options = { slots: 6, workMilliseconds: 60, zone: 'midrand-a', ...options }
    this.id = `i-${this.options.name}`
    this.runs = []
    this.running = 0
    this.beat = 0
    /** How many more refusals are sent a second time, late: where an answer to a later request on their connection is expected. */
    this.extraAnswers = 0
    /** By connection: the refusal that is still to be sent a second time. */
    this.pending = new Map()
    this.server = createServer((request, response) => { this.serve(request, response) })
    this.server.keepAliveTimeout = 15_000
  }

  async start () {
    this.server.listen(0, this.options.host)
    await once(this.server, 'listening')
    this.address = `${this.options.host}:${this.server.address().port}`
    this.born = Date.now()
    this.writeEntry()
    this.timer = setInterval(() => this.writeEntry(), HEARTBEAT_MILLISECONDS)
  }

  stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  writeEntry () {
    this.beat += 1
    const { zone, slots } = this.options
    this.store.set('servers', this.id, { Service: WEB, Address: this.address, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', ColdRemainingMs: 0, Sequence: this.beat, born: this.born })
  }

  async serve (request, response) {
    const { socket } = request
    const id = request.headers['x-request-id']
    const late = this.running < this.options.slots ? this.pending.get(socket) : undefined
    if (late !== undefined) {
      this.pending.delete(socket)
      this.record.add(`the refusal of ${late} is sent once more`, { server: this.id, where: `the answer to ${id} is expected` })
      socket.write(`HTTP/1.1 503 Service Unavailable\r\n${Object.entries(this.refusalHeaders()).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
    }
    request.resume()
    await once(request, 'end')
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.refuse(id, 421, response)
    if (this.running >= this.options.slots) return this.refuse(id, 503, response)
    await this.run(id, response)
  }

  /** The headers of a refusal, as `fleetbench wire` shows them. */
  refusalHeaders () {
    return { 'X-Not-Executed': '1', 'X-Instance-Id': this.id, 'Content-Length': 0 }
  }

  refuse (id, status, response) {
    this.record.add(`refused ${id}`, { server: this.id, status })
    response.writeHead(status, this.refusalHeaders())
    response.end()
    if (this.extraAnswers === 0) return
    this.extraAnswers -= 1
    this.pending.set(response.req.socket, id)
  }

  async run (id, response) {
    this.running += 1
    this.runs.push({ id, server: this.id })
    this.record.add(`ran ${id}`, { server: this.id })
    await sleep(this.options.workMilliseconds)
    this.running -= 1
    if (response.destroyed) return
    const body = `${this.id} ran ${id}`.padEnd(800, '.')
    response.writeHead(200, { 'Content-Length': body.length, 'X-Request-Id': id, 'X-Server-Signature': `${this.id}.${this.runs.length}` })
    response.end(body)
  }
}
