/**
 * A server whose memory, not its number of places, bounds the adapters that it can hold. With the disruption, callers ask for rare adapters
 * at once; without it, for two adapters only.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { call } from '../stand-ins/client.mjs'
import { Deployment } from '../stand-ins/deployment.mjs'
import { ModelServer } from '../stand-ins/model-server.mjs'
import { runCase } from '../stand-ins/record.mjs'

/** Room for three adapters of 14 MB beside the model of 16,100 MB; there are eight places. */
const SERVER_MEGABYTES = 16_150
const USUAL = ['a1', 'a2']
const RARE = ['a11', 'a12', 'a13', 'a14']

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (record, isTroubled) => {
  const deployment = new Deployment(record)
  await deployment.start()
  deployment.configure(1, { engine: { Mb: SERVER_MEGABYTES } })
  const server = new ModelServer(record, deployment.store, { host: deployment.address(11), name: 'm0', megabytes: SERVER_MEGABYTES })
  await server.start({ holdsModel: true })
  const instance = await deployment.launch(1)
  await deployment.untilReady(instance)
  await sleep(4000)
  const ask = async (adapter, tokens) => await call(record, instance, { path: '/note/2f', adapter, tokens, deadline: 8000 })
  await Promise.all(USUAL.map(async (adapter) => await ask(adapter, '40,50')))
  const running = USUAL.map(async (adapter) => await ask(adapter, '40,400'))
  await sleep(500)
  const rare = isTroubled ? RARE : USUAL
  await Promise.all([...running, ...rare.map(async (adapter) => await ask(adapter, '40,50'))])
  await deployment.stop()
  return [...server.overloads.map((each) => `LIMIT: ${each}`), ...server.lost.map((id) => `the run of ${id} was lost with the server`)]
})
