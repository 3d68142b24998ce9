/** A client sends the beginning of a second request while its first one runs, and no more: the first one is answered 408. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase } from '../harness-2/deployment.mjs'

const CRLF = '\r\n'
/** The server's work on the request, inside the route's `TimeoutMs`. */
const WORK_MILLISECONDS = 5_500
const TIMEOUT_MILLISECONDS = 6_000
const SECOND_REQUEST_MILLISECONDS = 200
const CALM_MILLISECONDS = 3_500
const PROMISES_NOT_RUN = [408, 421, 429, 503]

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), engines: 1, webServers: 1, webOptions: { workMilliseconds: WORK_MILLISECONDS }, configuration: { plainMilliseconds: TIMEOUT_MILLISECONDS } }, async (deployment, hasTrouble) => {
  await deployment.start(1)
  await sleep(CALM_MILLISECONDS)
  const [{ host, port }] = deployment.instances
  const socket = connect({ host, port, noDelay: true })
  let text = ''
  socket.on('data', (bytes) => {
    deployment.record(`the client received ${JSON.stringify(String(bytes))}`)
    text += String(bytes)
  })
  socket.on('error', ({ message }) => deployment.record(`the client's connection failed: ${message}`))
  socket.on('close', () => deployment.record('the client\'s connection is closed'))
  const body = 'book this'
  socket.write(['POST /enter/1 HTTP/1.1', 'host: guide.example', 'x-request-id: booking-1', `x-deadline: ${TIMEOUT_MILLISECONDS}`, `content-length: ${body.length}`, '', body].join(CRLF))
  deployment.record('the client sent the whole request booking-1, on an unsafe route')
  await sleep(SECOND_REQUEST_MILLISECONDS)
  if (hasTrouble) {
    socket.write(['POST /enter/2 HTTP/1.1', 'host: guide.example', ''].join(CRLF))
    deployment.record('the client sent the first two lines of a second request, and nothing more')
  }
  await sleep(TIMEOUT_MILLISECONDS + 500)
  socket.destroy()
  const runs = deployment.webServers.flatMap((server) => server.runs)
  for (const run of runs) deployment.record(`the server ran ${run.request}: ${run.outcome}`)
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0)
  deployment.record(`the client's request was answered ${status}`)
  return PROMISES_NOT_RUN.includes(status) && runs.some(({ request }) => request === 'booking-1')
})
