// Measures the memory of one instance whose endpoints send bytes without an end on many connections. Prints one line for each form of
// response and kind of caller: the peak of the resident memory, whether the process ended, and how many requests of other callers were served.
// Usage: node scripts/play-endless-bytes.mjs [memory in MB] [requests at one time] [forms, with commas]
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { PlatformDeployment } from '../platform/dist/stand-ins/platform-deployment.js'
import { SampleCaller } from '../platform/dist/stand-ins/sample-caller.js'
import { StandInModelServer } from '../platform/dist/stand-ins/stand-in-model-server.js'
import { StandInWebServer } from '../platform/dist/stand-ins/stand-in-web-server.js'

const memoryMegabytes = Number(process.argv[2] ?? 160)
const requests = Number(process.argv[3] ?? 400)
const TURN_MILLISECONDS = 5_000
const KILOBYTES_PER_MEGABYTE = 1_024
const flood = { milliseconds: 0, bytes: 4_000 }
const WEB = { body: { form: 'body', ...flood }, 'body-of-single-bytes': { form: 'body', milliseconds: 0, bytes: 1 }, interim: { form: 'interim', ...flood }, 'header-lines': { form: 'header-lines', ...flood }, trailers: { form: 'trailers', ...flood }, 'chunk-extension': { form: 'chunk-extension', ...flood }, 'whole-large': 7_900_000 }
const ENGINE = { comments: { form: 'comments', ...flood }, crumbs: { form: 'crumbs', ...flood }, 'crumbs-of-single-bytes': { form: 'crumbs', milliseconds: 0, bytes: 1 }, repeats: { form: 'repeats', milliseconds: 0, bytes: 900_000 }, 'new-large-events': 900_000 }
const cases = [...Object.entries(WEB).map(([name, answer]) => ['web', name, answer]), ...Object.entries(ENGINE).map(([name, answer]) => ['engine', name, answer])]
const wanted = process.argv[4]?.split(',')

class LargeWeb extends StandInWebServer {
  constructor (options, answer) {
    super(options)
    this.answer = answer
  }

  async serve (context) {
    return new Response('x'.repeat(this.answer), { headers: this.signature(context) })
  }
}

class LargeEngine extends StandInModelServer {
  answerWithoutEnd (context, bytes) {
    const { socket } = context.env.outgoing
    const head = Object.entries(this.signature(context)).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    let id = 0
    socket.write(`HTTP/1.1 200 OK\r\n${head}Transfer-Encoding: chunked\r\n\r\n`)
    const next = () => {
      if (socket.destroyed) return
      id += 1
      const event = `id: ${id}\ndata: ${'x'.repeat(bytes)}\n\n`
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`, next)
    }
    next()
    return new Response(null, { headers: { 'x-hono-already-sent': 'true' } })
  }
}

function memoryOf (pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE
}

/** Sends a request and reads nothing of its answer, or all of it. */
function ask (url, route, id, isSlow) {
  const { hostname, port } = new URL(url)
  const socket = connect({ host: hostname, port: Number(port) })
  socket.on('error', () => {})
  const more = route === 'list' ? 'GET' : 'POST'
  socket.write(`${more} /${route}/${id} HTTP/1.1\r\nHost: guide.example\r\nX-Request-Id: ${id}\r\nX-Deadline: 6000\r\n${route === 'list' ? '' : 'x-model: base/\r\nx-token-usage: 100,500\r\nContent-Length: 5\r\n'}\r\n${route === 'list' ? '' : 'hello'}`)
  if (isSlow) socket.pause()
  else socket.resume()
  return socket
}

/** Runs the servers at fault and their callers, in a process of its own. */
async function serveFault ({ kind, name, store, url, isSlow }) {
  const [, , answer] = cases.find((each) => each[0] === kind && each[1] === name)
  for (let index = 0; index < 4; index += 1) {
    const options = { id: `faulty-${index}`, service: kind === 'web' ? 'guide' : 'copydesk', zone: 'north', store, slots: 1_000, heartbeatMilliseconds: 400, workMilliseconds: 0, model: 'base', adapterSlots: 4, loadMilliseconds: 100, eventMilliseconds: 20 }
    const isLarge = typeof answer === 'number'
    const server = kind === 'web' ? (isLarge ? new LargeWeb(options, answer) : new StandInWebServer(options)) : (isLarge ? new LargeEngine(options) : new StandInModelServer(options))
    await server.listen()
    await server.register()
    if (kind === 'engine' || !isLarge) server.endless = answer
  }
  process.once('message', () => {
    for (let index = 0; index < requests; index += 1) ask(url, kind === 'web' ? 'list' : 'draft', `flood-${index}`, isSlow)
  })
  process.send('ready')
}

async function turn ([kind, name], isSlow) {
  let ended = ''
  let peak = 0
  const deployment = new PlatformDeployment({ instances: 1, engines: kind === 'web' ? 3 : 0, webServers: kind === 'web' ? 0 : 3, memoryMegabytes, environmentOf: () => ({ NODE_OPTIONS: '--max-old-space-size=200' }), onUnexpectedEnd: (_instance, reason) => { ended = reason } })
  await deployment.start()
  const [instance] = deployment.instances
  const faulty = fork(fileURLToPath(import.meta.url), process.argv.slice(2), { env: { ...process.env, FAULT: JSON.stringify({ kind, name, store: deployment.store.url, url: instance.url, isSlow }) } })
  await once(faulty, 'message')
  await sleep(1_500)
  const before = memoryOf(instance.process.processId)
  faulty.send('flood')
  const others = []
  const began = Date.now()
  while (Date.now() < began + TURN_MILLISECONDS) {
    if (ended !== '') break
    try {
      peak = Math.max(peak, memoryOf(instance.process.processId))
    } catch { /* The process has ended. */ }
    if (others.length * 100 < Date.now() - began) {
      const caller = new SampleCaller(instance.url)
      others.push(caller.send({ id: `other-${others.length}`, route: kind === 'web' ? 'draft' : 'list', adapter: '', events: 3, deadlineMilliseconds: 2_000 }).finally(async () => await caller.close()))
    }
    await sleep(20)
  }
  const answers = await Promise.all(others)
  const served = answers.filter(({ status, whole }) => status === 200 && whole).length
  faulty.kill()
  await deployment.stop()
  console.log(`${kind} | ${name} | ${isSlow ? 'slow' : 'reading'} | ${Math.round(before)} | ${Math.round(peak)} | ${ended === '' ? 'no' : ended} | ${served} of ${others.length}`)
}

async function play () {
  console.log(`memory ${memoryMegabytes}, requests ${requests}\nfrom | form | callers | before, MB | peak, MB | ended | others served`)
  for (const each of cases) {
    if (wanted !== undefined && !wanted.includes(each[1])) continue
    for (const isSlow of [false, true]) await turn(each, isSlow)
  }
}

await (process.env.FAULT === undefined ? play() : serveFault(JSON.parse(process.env.FAULT)))
