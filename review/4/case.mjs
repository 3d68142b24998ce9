/**
 * The process that orders the loads of a model server is killed and started again while an order of it is left unanswered. The new process
 * leaves the server with one adapter more than it has places. Without the disruptions, each order is answered and no process ends.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call } from '../stand-ins/client.mjs'
import { Deployment } from '../stand-ins/deployment.mjs'
import { ModelServer } from '../stand-ins/model-server.mjs'
import { runCase } from '../stand-ins/record.mjs'

/** One place of eight stays free. */
const HELD = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7']
const EARLIER = 'a9'
const LATER = 'a10'
const RESTART_MILLISECONDS = 1000
/** The bench carries out late orders 2 to 12 s after they came. */
const LATE_MILLISECONDS = { [EARLIER]: 3500, [LATER]: 6000 }
/** From the order for the earlier adapter until the later one is asked for. */
const ASKED_AFTER_MILLISECONDS = 5200

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, isTroubled) => {
  const deployment = new Deployment(record)
  await deployment.start()
  deployment.configure(1)
  const server = new ModelServer(record, deployment.store, { host: deployment.address(11), name: 'm0' })
  await server.start({ holdsModel: true })
  let instance = await deployment.launch(1)
  await deployment.untilReady(instance)
  await sleep(4000)
  const ask = async (adapter, events = 10) => await call(record, instance, { path: '/note/2f', adapter, tokens: `40,${events * 5}`, deadline: 8000 })
  await Promise.all(HELD.map(async (adapter) => await ask(adapter)))
  await sleep(1000)

  // The first order for each of the two adapters is left unanswered and carried out late.
  const came = {}
  const earlierComes = new Promise((resolve) => {
    server.holdOrder = async ({ Op: operation, Adapter: adapter }) => {
      if (!isTroubled || operation !== 'load' || LATE_MILLISECONDS[adapter] === undefined || came[adapter] !== undefined) return false
      came[adapter] = performance.now()
      record.add(`the order for ${adapter} is left unanswered`)
      if (adapter === EARLIER) resolve()
      await sleep(LATE_MILLISECONDS[adapter])
      return true
    }
  })
  const earlier = ask(EARLIER)
  if (isTroubled) {
    await earlierComes
    record.add(`SIGKILL to ${instance.name}`)
    instance.child.kill('SIGKILL')
    await sleep(RESTART_MILLISECONDS)
    instance = await deployment.launch(1, { isFirstStart: false })
    await deployment.untilReady(instance)
    await sleep(came[EARLIER] + ASKED_AFTER_MILLISECONDS - performance.now())
  }
  await earlier
  const running = HELD.map(async (adapter) => await ask(adapter, 80))
  await sleep(200)
  await Promise.all([...running, ask(LATER)])
  await deployment.stop()
  return [...server.overloads.map((each) => `LIMIT: ${each}`), ...server.lost.map((id) => `the run of ${id} was lost with the server`)]
})
