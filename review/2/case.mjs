/**
 * The first packet of a connection from one instance to a model server is dropped, so the instance has another instance carry the connection.
 * With the disruption, that other instance is killed, or stopped by SIGTERM, in the middle of the stream.
 */
import { spawn } from 'node:child_process'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call } from '../stand-ins/client.mjs'
import { Deployment } from '../stand-ins/deployment.mjs'
import { runCase } from '../stand-ins/record.mjs'

/** A stop ends connections only shortly before the end of `GraceS`, 8 s; an event comes each 25 ms. */
const STREAMS = [{ signal: 'SIGKILL', events: 60 }, { signal: 'SIGKILL', events: 60 }, { signal: 'SIGTERM', events: 400 }]
const SIGNAL_AFTER_EVENTS = 10
/** Streams with chunks before each one without a length: 3 of 63 have none, within the 5 in 100 of `garble` on the site. */
const USUAL_STREAMS = 20
/** The server accepts no connection for this long: after the first packet of the one instance, before that of the other. */
const BUSY_MILLISECONDS = 35

const countOf = (body) => body.toString().split('\n\n').length - 1

/** Starts the model server. @returns its process, its address, and a function that keeps it busy */
async function startServer (record, deployment) {
  const options = { host: deployment.address(11), name: 'm0', backlog: 1 }
  const child = spawn(process.execPath, [fileURLToPath(new URL('../stand-ins/model-server-process.mjs', import.meta.url)), JSON.stringify(options)], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const waiting = { address: [], busy: [], framing: [] }
  child.on('message', (message) => {
    if (message.record !== undefined) record.add(...message.record)
    if (message.set !== undefined) deployment.store.set(...message.set)
    for (const key of ['address', 'busy', 'framing']) if (message[key] !== undefined) waiting[key].shift()?.(message[key])
  })
  const next = async (key) => await new Promise((resolve) => { waiting[key].push(resolve) })
  const address = await next('address')
  const keepBusy = async () => {
    child.send({ busyMilliseconds: BUSY_MILLISECONDS })
    await next('busy')
  }
  const useUnframed = async (isUnframed) => {
    child.send({ isUnframed })
    await next('framing')
  }
  return { child, address, keepBusy, useUnframed }
}

/** Fills the queue of new connections of a server that accepts none now. */
function fillQueue (address) {
  const [host, port] = address.split(':')
  const sockets = Array.from({ length: 4 }, () => connect({ host, port: Number(port) }).on('error', () => {}))
  setTimeout(() => { for (const socket of sockets) socket.destroy() }, 1500)
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, isTroubled) => {
  const deployment = new Deployment(record)
  await deployment.start()
  deployment.configure(1)
  const server = await startServer(record, deployment)
  const instance = await deployment.launch(1)
  const broken = []
  for (const [number, { signal, events }] of STREAMS.entries()) {
    const carrier = await deployment.launch(2, { isFirstStart: number === 0 })
    await Promise.all([instance, carrier].map(async (each) => await deployment.untilReady(each)))
    await server.useUnframed(false)
    for (let usual = 0; usual < USUAL_STREAMS; usual += 1) await call(record, instance, { path: '/note/2f', adapter: '', tokens: '40,10', deadline: 5000 })
    // Kept connections are closed after 4 s, so that the next stream opens one.
    await sleep(5000)
    await server.useUnframed(true)
    await server.keepBusy()
    fillQueue(server.address)
    let isSent = false
    const result = await call(record, instance, {
      path: '/note/2f',
      adapter: '',
      tokens: `40,${events * 5}`,
      deadline: 14_500,
      onData: (body) => {
        if (!isTroubled || isSent || countOf(body) < SIGNAL_AFTER_EVENTS) return
        isSent = true
        record.add(`${signal} to ${carrier.name}`, { events: countOf(body) })
        carrier.child.kill(signal)
      }
    })
    const received = countOf(result.body)
    record.add(`stream ${number + 1}`, { received, of: events, isWhole: result.isWhole })
    if (result.status === 200 && result.isWhole && received < events) broken.push(`ORDER: ${result.id} got ${received} of ${events} events, and its stream ended as complete`)
    if (!carrier.hasEnded) carrier.child.kill('SIGKILL')
    await sleep(1500)
  }
  server.child.kill()
  await deployment.stop()
  return broken
})
