/** Callers pipeline requests whose heads have very many short lines, all inside the limits; the instance runs out of memory. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { OrdinaryCallers, residentMegabytes, runCase } from '../harness-2/deployment.mjs'

const CRLF = '\r\n'
const CONNECTIONS = 90
/** Requests that are sent on one connection without waiting for the answers. */
const PIPELINED = 31
/** Header lines beside the usual ones; the whole head stays below `MaxHeaderBytes` (16,384). */
const HEADER_LINES = 1_750
const OPENING_MILLISECONDS = 25
const PRESSED_MILLISECONDS = 15_000
const ORDINARY_CALLERS = 8
const CALM_MILLISECONDS = 4_000
/** LOST: more than three requests. */
const ALLOWED_LOSSES = 3

const LINES = Array.from({ length: HEADER_LINES }, (_, number) => `${number.toString(36)}:${(number % 26 + 10).toString(36)}${(number % 31).toString(36)}`)

function head (id, lines) {
  return ['POST /once/1 HTTP/1.1', 'host: guide.example', `x-request-id: ${id}`, 'x-deadline: 15000', 'x-model: base', 'x-token-usage: 100,2500', 'content-length: 0', ...lines, '', ''].join(CRLF)
}

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), engines: 2, webServers: 2, webOptions: { workMilliseconds: 300 }, configuration: { streamMilliseconds: 15_000 } }, async (deployment, hasTrouble) => {
  await deployment.start(1)
  const [instance] = deployment.instances
  const { host, port, child } = instance
  const ordinary = new OrdinaryCallers(deployment, instance)
  ordinary.begin(ORDINARY_CALLERS)
  await sleep(CALM_MILLISECONDS)
  const lines = hasTrouble ? LINES : []
  deployment.record(`each of ${CONNECTIONS} connections sends ${PIPELINED} requests, each with a head of ${head('pressing-1-1', lines).length} bytes`)
  const open = []
  for (let number = 0; number < CONNECTIONS && instance.end === undefined; number += 1) {
    const socket = connect({ host, port })
    socket.on('error', () => {})
    socket.resume()
    for (let request = 0; request < PIPELINED; request += 1) socket.write(head(`pressing-${number}-${request}`, lines))
    open.push(socket)
    await sleep(OPENING_MILLISECONDS)
  }
  const until = performance.now() + PRESSED_MILLISECONDS
  while (performance.now() < until && instance.end === undefined) {
    deployment.record(`resident ${residentMegabytes(child.pid)?.toFixed(0) ?? '-'} MB`)
    await sleep(500)
  }
  await ordinary.end()
  for (const socket of open) socket.destroy()
  deployment.record(`ordinary callers: ${JSON.stringify(ordinary.answers)} (status: number); passed on, then closed without an answer: ${ordinary.lost.join(', ') || 'none'}`)
  return ordinary.lost.length > ALLOWED_LOSSES
})
