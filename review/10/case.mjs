/** A request with very many short header lines, inside the limits, runs without the last of its headers. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase } from '../harness-2/deployment.mjs'

const CRLF = '\r\n'
/** Header lines before the last ones; the whole head stays below `MaxHeaderBytes` (16,384). */
const HEADER_LINES = 2_100
const FEW_HEADER_LINES = 10
const CALM_MILLISECONDS = 3_500
const ANSWER_MILLISECONDS = 3_000
const SENT = { model: 'base', usage: '100,200', prefix: '5c1e07a2:60,91bd3f06:40' }
const REQUESTS = 5

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), engines: 2, webServers: 1 }, async (deployment, hasTrouble) => {
  await deployment.start(1)
  await sleep(CALM_MILLISECONDS)
  const [{ host, port }] = deployment.instances
  const lines = Array.from({ length: hasTrouble ? HEADER_LINES : FEW_HEADER_LINES }, (_, number) => `a:${number % 10}`)
  let altered = 0
  for (let number = 0; number < REQUESTS; number += 1) {
    const id = `many-lines-${number}`
    const socket = connect({ host, port, noDelay: true })
    let text = ''
    socket.on('data', (bytes) => { text += String(bytes) })
    socket.on('error', ({ message }) => deployment.record(`the client's connection failed: ${message}`))
    const head = ['POST /once/1 HTTP/1.1', 'host: guide.example', `x-request-id: ${id}`, `x-model: ${SENT.model}`, ...lines, 'x-deadline: 5000', `x-token-usage: ${SENT.usage}`, `x-prompt-prefix: ${SENT.prefix}`, 'content-length: 0', '', ''].join(CRLF)
    socket.write(head)
    deployment.record(`the client sent ${id}, a head of ${head.length} bytes: ${JSON.stringify(SENT)}`)
    await sleep(ANSWER_MILLISECONDS)
    socket.destroy()
    const ran = deployment.engines.map((engine) => engine.ran.get(id)).find((each) => each !== undefined)
    const events = [...text.matchAll(/^id: \d+\r?$/gm)].length
    deployment.record(`a server ran ${id} as ${JSON.stringify(ran)}; the client's answer: ${text.slice(0, 15).trim()}, ${events} events, ${text.endsWith(`0${CRLF}${CRLF}`) ? 'complete' : 'not complete'}`)
    if (ran !== undefined && (ran.model !== SENT.model || ran.usage !== SENT.usage || ran.prefix !== SENT.prefix)) altered += 1
  }
  deployment.record(`${altered} of ${REQUESTS} requests ran with headers that are not the client's`)
  return altered > 0
})
