/** A stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, one revision, watches. */
import { once } from 'node:events'
import { createServer } from 'node:http'

const PATH = /^\/limpetwinch\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/
const MAXIMUM_WATCH_MILLISECONDS = 30_000

/** The store and its HTTP interface. */
export class Store {
  constructor () {
    this.kinds = new Map()
    this.revision = 10
    this.events = []
    this.watches = new Set()
    /** Called before a write is answered; returns whether its answer is lost. */
    this.losesAnswer = () => false
    this.server = createServer((request, response) => this.serve(request, response))
  }

  async listen (host) {
    this.server.listen(0, host)
    await once(this.server, 'listening')
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  objectsOf (kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map())
    return this.kinds.get(kind)
  }

  /** Writes the `Spec` of an object, which is created if there is none. */
  set (kind, name, spec) {
    const known = this.objectsOf(kind).get(name)
    if (known !== undefined && JSON.stringify(known.Spec) === JSON.stringify(spec)) return known
    this.revision += 1
    const metadata = { Name: name, Rev: this.revision, CreateRev: known?.Metadata.CreateRev ?? this.revision, Finalizers: [], Deleting: false }
    return this.changed(kind, { Metadata: metadata, Spec: spec, Status: known?.Status ?? null }, false)
  }

  /** Removes an object if there is one. */
  remove (kind, name) {
    const known = this.objectsOf(kind).get(name)
    if (known === undefined) return
    this.revision += 1
    this.changed(kind, { ...known, Metadata: { ...known.Metadata, Rev: this.revision } }, true)
  }

  changed (kind, object, removed) {
    if (removed) this.objectsOf(kind).delete(object.Metadata.Name)
    else this.objectsOf(kind).set(object.Metadata.Name, object)
    this.events.push({ kind, revision: this.revision, event: { Removed: removed, Object: object } })
    for (const wake of [...this.watches]) wake()
    return object
  }

  async serve (request, response) {
    const url = new URL(request.url, 'http://store')
    const [, kind, encodedName, status] = PATH.exec(url.pathname) ?? []
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (kind === undefined) return answer(response, 404, {})
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName)
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())
    if (request.method === 'GET' && name === undefined) return await this.read(kind, url.searchParams, response)
    if (request.method === 'GET') return answer(response, ...this.found(kind, name))
    const [code, object] = this.write(request.method, kind, name ?? body.Metadata?.Name, body, url.searchParams, status !== undefined)
    if (this.losesAnswer({ method: request.method, kind, name: name ?? body.Metadata?.Name, body, code })) return
    answer(response, code, object)
  }

  found (kind, name) {
    const object = this.objectsOf(kind).get(name)
    return object === undefined ? [404, {}] : [200, object]
  }

  async read (kind, query, response) {
    if (!query.has('Watch')) {
      const items = [...this.objectsOf(kind).values()].filter(({ Metadata }) => Metadata.Name > (query.get('after') ?? '')).sort((one, other) => one.Metadata.Name < other.Metadata.Name ? -1 : 1)
      return answer(response, 200, { items, HasMore: false, StoreRevision: this.revision })
    }
    const from = Number(query.get('Watch'))
    const events = () => this.events.filter((each) => each.kind === kind && each.revision > from).map(({ event }) => event)
    const wait = Math.min(MAXIMUM_WATCH_MILLISECONDS, Number(query.get('WaitMs') ?? 0))
    if (events().length === 0 && wait > 0) await this.change(kind, events, wait, response)
    answer(response, 200, { events: events(), StoreRevision: this.revision })
  }

  async change (kind, events, milliseconds, response) {
    await new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer)
        this.watches.delete(wake)
        resolve()
      }
      const wake = () => { if (events().length > 0) end() }
      const timer = setTimeout(end, milliseconds)
      this.watches.add(wake)
      response.once('close', end)
    })
  }

  write (method, kind, name, body, query, isStatus) {
    const known = this.objectsOf(kind).get(name)
    const expected = body.Metadata?.Rev ?? (query.has('Rev') ? Number(query.get('Rev')) : undefined)
    if (method === 'POST') return known === undefined ? [200, this.set(kind, name, body.Spec)] : [409, known]
    if (known === undefined) return [404, {}]
    if (expected !== undefined && expected !== known.Metadata.Rev) return [409, known]
    if (method === 'DELETE') {
      this.remove(kind, name)
      return [200, known]
    }
    if (!isStatus) return [200, this.set(kind, name, body.Spec)]
    this.revision += 1
    return [200, this.changed(kind, { ...known, Metadata: { ...known.Metadata, Rev: this.revision }, Status: body.Status }, false)]
  }
}

function answer (response, status, value) {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
