/** New versions of two adapters of one server are announced at once; a long stream on one of them keeps the other one old, and requests that wait for it begin too late. */
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase } from '../harness-2/deployment.mjs'

const REQUESTS = 24
const EVENTS = 40
/** Events of the stream on the other adapter, which takes some eight seconds. */
const LONG_EVENTS = 400
/** Streams that the server runs at one time while others wait. */
const RUNS_AT_ONCE = 3
const SETTLING_MILLISECONDS = 5_000
const REQUEST_INTERVAL_MILLISECONDS = 20
const VERSION_MILLISECONDS = 5_000

function headersOf (id, adapter, events) {
  return { 'x-request-id': id, 'x-deadline': '14500', 'x-model': `base/${adapter}`, 'x-token-usage': `100,${events * 5}` }
}

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), engines: 1, webServers: 1, configuration: { streamMilliseconds: 15_000 } }, async (deployment, hasTrouble) => {
  await deployment.start(2)
  const { instances, engines: [engine] } = deployment
  await sleep(SETTLING_MILLISECONDS)
  for (const adapter of ['a1', 'a2']) await call(instances[0], { path: '/draft/1', headers: headersOf(`first-${adapter}`, adapter, 2) })
  const sent = [call(instances[0], { path: '/once/1', headers: headersOf('long', 'a2', LONG_EVENTS) })]
  await sleep(300)
  engine.queue.limit = RUNS_AT_ONCE
  for (let number = 0; number < REQUESTS; number += 1) {
    sent.push(call(instances[number % 2], { path: '/once/1', headers: headersOf(`waiting-${number}`, 'a1', EVENTS) }))
    await sleep(REQUEST_INTERVAL_MILLISECONDS)
  }
  const announcedAt = Date.now()
  for (const adapter of hasTrouble ? ['a2', 'a1'] : ['a1']) deployment.store.objects.create('versions', `base.${adapter}`, { Model: 'base', Adapter: adapter, Version: 2 })
  deployment.record(`version 2 of ${hasTrouble ? 'a2 and a1' : 'a1'} is announced`)
  await Promise.all(sent)
  for (const { at, operation, adapter, status } of engine.orders.slice(0, 40)) deployment.record(`order ${operation} ${adapter}, ${at - announcedAt} ms after the announcement: ${status}`)
  const runs = engine.runs.filter(({ request }) => request.startsWith('waiting'))
  for (const { request, version, at } of runs) deployment.record(`${request} began on version ${version} ${at - announcedAt} ms after the announcement`)
  const late = runs.filter(({ version, at }) => version === 1 && at > announcedAt + VERSION_MILLISECONDS)
  deployment.record(`${late.length} of ${runs.length} requests began on version 1 more than ${VERSION_MILLISECONDS} ms after the announcement`)
  return late.length > 0
})
