/** A part of prompts that crashes model servers stands behind 32 other shared parts; it is never found. */
import { setTimeout as sleep } from 'node:timers/promises'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase } from '../harness-2/deployment.mjs'

/** Shared parts of each prompt, before the part of the request itself. */
const SHARED_PARTS = 34
/** Place of the crashing part among them, from 1. `POSITION=3` shows the same with a part that is found. */
const POSITION = Number(process.env.POSITION ?? 33)
const CRASHING_PART = 'badbad'
/** Time from the beginning of an answer on the part to the crash. */
const CRASH_MILLISECONDS = 60
const STABILITY_WINDOW_MILLISECONDS = 3_000
const CALM_MILLISECONDS = 3_500
const TRAFFIC_MILLISECONDS = 35_000
const INTERVAL_MILLISECONDS = 150
/** BUDGET: more than three requests. */
const ALLOWED_ARRIVALS = 3

function prompt (number, isSound) {
  const shared = Array.from({ length: SHARED_PARTS }, (_, index) => !isSound && index + 1 === POSITION ? CRASHING_PART : (0x1000 + index).toString(16))
  return [...shared, (0x900000 + number).toString(16)].map((id) => `${id}:20`).join(',')
}

const crashingParts = new Map()

await runCase({ folder: dirname(fileURLToPath(import.meta.url)), engines: 4, webServers: 1, engineOptions: { crashingParts } }, async (deployment, hasTrouble) => {
  if (hasTrouble) crashingParts.set(CRASHING_PART, CRASH_MILLISECONDS)
  await deployment.start(2)
  await sleep(CALM_MILLISECONDS)
  const answers = {}
  const sendOne = async (number, kind) => {
    const { status, isComplete } = await call(deployment.instances[number % 2], {
      path: `/draft/${number}`,
      headers: { 'x-request-id': `${kind}-${number}`, 'x-deadline': '5000', 'x-model': 'base', 'x-token-usage': '700,50', 'x-prompt-prefix': prompt(number, kind === 'sound') },
      body: `body ${number}`
    })
    const outcome = `${kind}: ${status}${isComplete ? '' : ', broken off'}`
    answers[outcome] = (answers[outcome] ?? 0) + 1
  }
  const sent = []
  const until = performance.now() + TRAFFIC_MILLISECONDS
  for (let number = 0; performance.now() < until; number += 1) {
    sent.push(sendOne(number, 'sound'))
    if (number % 2 === 0) sent.push(sendOne(number, 'crashing'))
    await sleep(INTERVAL_MILLISECONDS)
  }
  await Promise.all(sent)
  deployment.record(`answers: ${JSON.stringify(answers)}`)
  const fifth = deployment.crashes[4] ?? Infinity
  const late = deployment.engines.flatMap(({ arrivals }) => arrivals).filter(({ request, at }) => request.startsWith('crashing') && at > fifth + STABILITY_WINDOW_MILLISECONDS)
  deployment.record(`${deployment.crashes.length} crashes; requests with the part that reached servers later than ${STABILITY_WINDOW_MILLISECONDS} ms after the fifth: ${late.length}`)
  return late.length > ALLOWED_ARRIVALS
})
