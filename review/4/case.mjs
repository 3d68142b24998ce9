/**
 * An order that a model server left unanswered is carried out late, after the server has crashed and started again under its id. It is ordered
 * to hold one adapter more than it has places. Without the disruption, each order is answered and the server does not crash.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call } from '../stand-ins/client.mjs'
import { Deployment } from '../stand-ins/deployment.mjs'
import { ModelServer } from '../stand-ins/model-server.mjs'
import { runCase } from '../stand-ins/record.mjs'

const FIRST = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8']
const LATER = 'a9'
/** The bench carries out late orders 2 to 12 s after they came. */
const LATE_MILLISECONDS = 11_000
/** A crash of a server lasts up to 4.5 s on the site. */
const DOWN_MILLISECONDS = 1500

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, isTroubled) => {
  const deployment = new Deployment(record)
  await deployment.start()
  deployment.configure(1)
  const server = new ModelServer(record, deployment.store, { host: deployment.address(11), name: 'm0' })
  await server.start({ holdsModel: true })
  const instance = await deployment.launch(1)
  await deployment.untilReady(instance)
  await sleep(4000)
  const ask = async (adapter, events = 10) => await call(record, instance, { path: '/draft/2f', adapter, tokens: `40,${events * 5}`, deadline: 12_000 })
  await Promise.all(FIRST.map(async (adapter) => await ask(adapter)))
  await sleep(1000)
  let heldBack
  const comes = new Promise((resolve) => { server.onHeldBack = resolve })
  server.delayOrder = ({ Op: operation, Adapter: adapter }) => {
    if (!isTroubled || heldBack !== undefined || operation !== 'load' || adapter !== LATER) return undefined
    heldBack = performance.now()
    server.onHeldBack()
    return LATE_MILLISECONDS
  }
  const later = ask(LATER)
  if (isTroubled) {
    const orderComes = await Promise.race([comes.then(() => true), sleep(5000)])
    if (orderComes !== true) throw new Error('the order did not come')
    server.crash('a crash of the server itself')
    server.lost.length = 0
    await sleep(DOWN_MILLISECONDS)
    await server.start({ keepsId: true })
  }
  await later
  // The callers of the first adapters come back, until the server holds them all and past the time of the late order.
  const until = (heldBack ?? performance.now()) + LATE_MILLISECONDS + 2000
  while (performance.now() < until && server.overloads.length === 0) await Promise.all(FIRST.map(async (adapter) => await ask(adapter, 40)))
  await deployment.stop()
  return [...server.overloads.map((each) => `LIMIT: ${each}`), ...server.lost.map((id) => `the run of ${id} was lost with the server`)]
})
