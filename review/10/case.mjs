/** All instances are killed at once while servers of two software versions serve: streams that clients take up again are refused for good. */
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase } from '../harness-2/deployment.mjs'

const INSTANCES = 3
const STREAMS = 24
const EVENTS = 60
const SETTLING_MILLISECONDS = 5_000
/** Time from the beginning of the streams to the kill; a stream lasts 1.2 s or more. */
const KILL_AFTER_MILLISECONDS = 600
const DOWN_MILLISECONDS = 1_000
const STABILITY_WINDOW_MILLISECONDS = 3_000
/** Attempts of a client to take its stream up, each at another machine, and the pause between them; more than the `Retry-After` of the refusals (0.3 s). */
const ATTEMPTS = 3
const RETRY_MILLISECONDS = 500
/** LOST counts 12 or more streams. */
const LEAST_STREAMS = 12
/** Without the disruption the clients break their connections themselves. */
const EVENTS_BEFORE_BREAK = 20
const HEADERS = { 'x-deadline': '15000', 'x-model': 'base', 'x-token-usage': `100,${EVENTS * 5}` }

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), engines: 4, webServers: 1, softwareVersions: ['v1', 'v2'], configuration: { streamMilliseconds: 15_000 } }, async (deployment, hasTrouble) => {
  await deployment.start(INSTANCES)
  await sleep(SETTLING_MILLISECONDS)
  const beginOne = async (number) => {
    const headers = { ...HEADERS, 'x-request-id': `stream-${number}` }
    const first = await call(deployment.instances[number % INSTANCES], { path: '/draft/1', headers, breakAfterEvents: hasTrouble ? Infinity : EVENTS_BEFORE_BREAK })
    return { number, lastEvent: first.lastEvent }
  }
  const starting = Array.from({ length: STREAMS }, async (_, number) => await beginOne(number))
  await sleep(KILL_AFTER_MILLISECONDS)
  if (hasTrouble) {
    deployment.record('all instances are killed')
    for (const { child } of deployment.instances) child.kill('SIGKILL')
  }
  const firsts = await Promise.all(starting)
  await sleep(DOWN_MILLISECONDS)
  if (hasTrouble) for (let number = 0; number < INSTANCES; number += 1) await deployment.launch(number)
  for (const instance of deployment.instances) await deployment.untilReady(instance)
  deployment.record('all instances are ready')
  await sleep(STABILITY_WINDOW_MILLISECONDS + 500)
  let wentOn = 0
  let fresh = 0
  const began = firsts.filter(({ lastEvent }) => lastEvent > 0)
  await Promise.all(began.map(async ({ number, lastEvent }) => {
    const statuses = []
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const next = await call(deployment.instances[(number + attempt) % INSTANCES], { path: '/draft/1', headers: { ...HEADERS, 'x-deadline': '9000', 'x-request-id': `stream-${number}-again-${attempt}`, 'last-event-id': String(lastEvent), resumes: `stream-${number}` } })
      statuses.push(next.status)
      if (next.lastEvent === EVENTS) {
        wentOn += 1
        break
      }
      await sleep(RETRY_MILLISECONDS)
    }
    const { lastEvent: last } = await call(deployment.instances[number % INSTANCES], { path: '/draft/1', headers: { ...HEADERS, 'x-request-id': `fresh-${number}` } })
    if (last === EVENTS) fresh += 1
    deployment.record(`stream-${number} was broken off after event ${lastEvent} and taken up again: ${statuses.join(', ')}`)
  }))
  deployment.record(`${began.length} streams were taken up again, ${wentOn} went on; ${fresh} of ${began.length} new ones ran`)
  return began.length >= LEAST_STREAMS && wentOn / began.length < fresh / began.length / 2
})
