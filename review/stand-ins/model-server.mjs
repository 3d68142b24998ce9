/** A stand-in for a model server, as PROTOCOL.md describes it: orders, reports, queueing and streams. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { ENGINES, MODEL } from './deployment.mjs'

const REPORT_LAG_MILLISECONDS = 200
const HEARTBEAT_MILLISECONDS = 1_200
const MOST_IN_TRANSIT = 4
const EVENT_MILLISECONDS = 25
const TOKENS_PER_EVENT = 5

/** One model server; each `start` is a new incarnation. */
export class ModelServer {
  /**
   * @param record - receives what is ordered and run
   * @param store - the store
   * @param options - `host`, `name`, `megabytes`, `modelMegabytes`, `adapterMegabytes`, `adapterSlots`, `loadMilliseconds`, `modelMilliseconds`, `zone`, `slots`
   */
  constructor (record, store, options) {
    this.record = record
    this.store = store
    this.options = { megabytes: 16_500, modelMegabytes: 16_100, adapterMegabytes: 14, adapterSlots: 8, loadMilliseconds: 250, modelMilliseconds: 600, zone: 'midrand-a', slots: 96, ...options }
    this.incarnation = 0
    this.overloads = []
    this.orders = []
    this.lost = []
    this.runs = []
    this.newest = new Map()
    this.port = 0
    /** Resolves when an order is to be carried out: with whether it was held back, so that it gets no answer. */
    this.holdOrder = async () => false
  }

  /** Starts an incarnation. @param holdsModel - whether it begins with the model, as servers do at the start of the whole system; keepsId - whether it has the id of the one before */
  async start ({ holdsModel = false, keepsId = false } = {}) {
    if (!keepsId || this.id === undefined) this.id = `i-${this.options.name}-${this.incarnation}`
    this.incarnation += 1
    this.born = Date.now()
    this.sequence = 0
    this.fence = 0
    this.hasModel = holdsModel
    this.isBusy = false
    this.adapters = new Map()
    this.coming = new Map()
    this.running = new Set()
    this.waiting = []
    this.beat = 0
    this.isUp = true
    this.reports = []
    this.server = createServer((request, response) => this.serve(request, response))
    this.server.keepAliveTimeout = 15_000
    this.server.listen({ port: this.port, host: this.options.host, backlog: this.options.backlog ?? 511 })
    await once(this.server, 'listening')
    this.port = this.server.address().port
    this.address = `${this.options.host}:${this.port}`
    const { server } = this
    this.timers = [setInterval(() => this.writeEntry(), HEARTBEAT_MILLISECONDS), setInterval(() => this.takeReport(), 20)]
    this.takeReport()
    this.writeEntry()
    this.record.add(`server ${this.id} started`, { born: this.born, address: this.address, incarnation: this.incarnation })
    return server
  }

  /** Ends the incarnation at once: all connections are reset, what runs is lost. */
  crash (reason) {
    if (!this.isUp) return
    this.isUp = false
    for (const timer of this.timers) clearInterval(timer)
    const lost = [...this.running].map(({ id }) => id)
    this.lost.push(...lost)
    this.record.add(`server ${this.id} crashed`, { reason, lost })
    for (const run of this.running) run.socket.resetAndDestroy()
    this.server.closeAllConnections()
    this.server.close()
  }

  writeEntry () {
    if (!this.isUp) return
    this.beat += 1
    const { zone, slots } = this.options
    this.store.set('servers', this.id, {
      Service: ENGINES, Address: this.address, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', ColdRemainingMs: 0, Stage: 'unified', Models: this.models(), Sequence: this.beat, born: this.born
    })
  }

  models () {
    return this.hasModel ? [{ Name: MODEL, Version: 1, Adapters: [...this.adapters].map(([name, { version }]) => `${name}@${version}`) }] : []
  }

  takeReport () {
    const now = performance.now()
    this.reports.push({
      at: now,
      report: {
        Stage: 'unified',
        Models: this.models(),
        Busy: this.isBusy,
        Sequence: this.sequence,
        Waiting: this.waiting.length,
        Running: this.running.size,
        KvUsed: 0,
        KvTotal: 201_886,
        Handles: 0,
        Coming: [...this.coming].map(([name, version]) => `${MODEL}/${name}@${version}`),
        AtHand: { InMemory: [], OnDisk: [] },
        born: this.born
      }
    })
    while (this.reports.length > 1 && this.reports[1].at <= now - REPORT_LAG_MILLISECONDS) this.reports.shift()
  }

  async serve (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    const expected = request.headers['x-expect-instance']
    if (request.url === '/limpetwinch/report') return send(response, 200, this.reports[0].report)
    if (request.url === '/healthz') return send(response, 200, {}, { 'X-Instance-Id': this.id })
    if (expected !== undefined && expected !== this.id) return send(response, 421, {}, { 'X-Instance-Id': this.id, 'X-Not-Executed': '1' })
    if (request.url === '/limpetwinch/order') return await this.receiveOrder(JSON.parse(Buffer.concat(chunks).toString()), response)
    await this.handle(request, response)
  }

  async receiveOrder (order, response) {
    const { incarnation } = this
    const comes = performance.now()
    const isHeldBack = await this.holdOrder(order)
    if (!isHeldBack) return send(response, this.apply(order), {})
    const milliseconds = Math.round(performance.now() - comes)
    if (!this.isUp) return this.record.add('order not carried out: its server is down', order)
    this.record.add('order carried out late', { milliseconds, came: incarnation, incarnation: this.incarnation, status: this.apply(order), ...order })
  }

  apply (order) {
    const status = this.applied(order)
    this.orders.push({ at: performance.now(), holder: order.Holder, fence: order.Fence, status })
    this.record.add(`order at ${this.id}`, { status, sequence: this.sequence, held: [...this.adapters.keys()], coming: [...this.coming.keys()], ...order })
    return status
  }

  applied ({ Op: operation, Model: model, Adapter: adapter, Version: version, Precondition: precondition, Holder: holder, Fence: fence }) {
    if (holder === undefined || fence === undefined) return 400
    if (this.options.checksFences !== false && fence < this.fence) return 412
    this.fence = fence
    if (precondition !== undefined && precondition !== this.sequence) return 409
    if (model !== MODEL) return 400
    if (adapter === undefined) return operation === 'load' ? this.loadModel() : 400
    if (!this.hasModel) return 400
    return operation === 'load' ? this.load(adapter, Math.max(version ?? 0, this.newest.get(adapter) ?? 1)) : this.unload(adapter)
  }

  loadModel () {
    if (this.hasModel) return 200
    if (this.isBusy) return 409
    this.isBusy = true
    this.sequence += 1
    this.finishModel(this.incarnation)
    return 202
  }

  async finishModel (incarnation) {
    await sleep(this.options.modelMilliseconds)
    if (incarnation !== this.incarnation || !this.isUp) return
    this.isBusy = false
    this.hasModel = true
    this.writeEntry()
  }

  load (name, version) {
    const held = this.adapters.get(name)
    if (held !== undefined && held.version >= version && !held.isLeaving) return 200
    if (this.coming.has(name)) return 202
    if (this.isBusy || this.coming.size >= MOST_IN_TRANSIT) return 409
    this.sequence += 1
    this.coming.set(name, version)
    this.checkRoom(name)
    this.finishLoad(name, version, this.incarnation)
    return 202
  }

  /** A server that is ordered to load more than it can hold crashes. */
  checkRoom (name) {
    const { adapterSlots, adapterMegabytes, modelMegabytes, megabytes } = this.options
    const count = new Set([...this.adapters.keys(), ...this.coming.keys()]).size
    const needed = modelMegabytes + count * adapterMegabytes
    if (count <= adapterSlots && needed <= megabytes) return
    this.overloads.push(`server ${this.id} was ordered to load ${name} as adapter ${count} (AdapterSlots ${adapterSlots}), ${needed} MB in all (Mb ${megabytes})`)
    setImmediate(() => this.crash('ordered to load more than it holds'))
  }

  async finishLoad (name, version, incarnation) {
    await sleep(this.options.loadMilliseconds)
    while (this.adapters.get(name)?.running > 0) await sleep(10)
    if (incarnation !== this.incarnation || !this.isUp) return
    this.coming.delete(name)
    this.adapters.set(name, { version, running: 0, isLeaving: false })
  }

  unload (name) {
    const held = this.adapters.get(name)
    if (held === undefined) return 200
    this.sequence += 1
    held.isLeaving = held.running > 0
    if (!held.isLeaving) this.adapters.delete(name)
    return held.isLeaving ? 202 : 200
  }

  /** Requests beyond the slots wait in the order of their arrival. */
  async handle (request, response) {
    const id = request.headers['x-request-id']
    const [, name] = (request.headers['x-model'] ?? '').split('/')
    const held = this.adapters.get(name)
    const expected = request.headers['x-expect-version']
    const refuse = (status, reason) => {
      this.record.add(`refused ${id}`, { server: this.id, status, reason })
      send(response, status, {}, { 'X-Not-Executed': '1', 'X-Instance-Id': this.id })
    }
    if (!this.hasModel || (name !== undefined && (held === undefined || held.isLeaving))) return refuse(421, 'the adapter is not present')
    if (expected !== undefined && Number(expected) !== held?.version) return refuse(421, `version ${held?.version}, expected ${expected}`)
    if (this.coming.has(name)) return refuse(503, 'a newer version is being loaded')
    const run = { id, name, socket: request.socket, isGone: false }
    response.once('close', () => { run.isGone = true })
    if (held !== undefined) held.running += 1
    const { incarnation } = this
    if (this.running.size >= this.options.slots) {
      this.record.add(`queued ${id}`, { server: this.id, adapter: name, expectedVersion: expected })
      await new Promise((resolve) => { this.waiting.push(resolve) })
    }
    if (incarnation === this.incarnation && this.isUp && !run.isGone) await this.run(run, held, request, response)
    if (held !== undefined) this.release(name, held)
    if (incarnation === this.incarnation) this.waiting.shift()?.()
  }

  async run (run, held, request, response) {
    const { incarnation } = this
    const begun = { id: run.id, server: this.id, adapter: run.name, version: held?.version, at: performance.now() }
    this.running.add(run)
    this.runs.push(begun)
    this.record.add(`ran ${run.id}`, { server: this.id, adapter: run.name, version: held?.version })
    if (this.options.isUnframed === true) response.useChunkedEncodingByDefault = false
    const events = Math.ceil(Number((request.headers['x-token-usage'] ?? ',5').split(',')[1]) / TOKENS_PER_EVENT)
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Request-Id': run.id, 'X-Server-Signature': `${this.id}.${this.runs.length}`, 'X-Weight-Versions': String(held?.version ?? 1), ...(this.options.isUnframed === true ? { Connection: 'close' } : {}) })
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= events && !run.isGone && incarnation === this.incarnation && this.isUp; event += 1) {
      await sleep(this.options.eventMilliseconds ?? EVENT_MILLISECONDS)
      if (this.isUp) response.write(`id: ${event}\ndata: ${run.name} ${event}\n\n`)
    }
    this.running.delete(run)
    if (this.isUp) response.end()
  }

  release (name, held) {
    held.running -= 1
    if (held.isLeaving && held.running === 0 && this.adapters.get(name) === held) this.adapters.delete(name)
  }
}

function send (response, status, value, headers = {}) {
  if (response.destroyed) return
  response.writeHead(status, { 'Content-Type': 'application/json', ...headers })
  response.end(JSON.stringify(value))
}
