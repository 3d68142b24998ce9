// Guards against a call without an answer that never ends, since its timeout was collected as garbage before it fired.
import { setTimeout as sleep } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect, it } from 'vitest'
import { boundedCall } from '../src/index.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const TIMEOUT_MILLISECONDS = 300
const CALLS = 50

it('ends each call at its timeout, also when garbage is collected meanwhile', async () => {
  const { signal: instance } = new AbortController()
  let ended = 0
  for (let call = 0; call < CALLS; call += 1) boundedCall(TIMEOUT_MILLISECONDS, call % 2 === 0 ? instance : undefined).signal.addEventListener('abort', () => { ended += 1 })
  await sleep(TIMEOUT_MILLISECONDS / 3)
  collectGarbage()
  await expect.poll(() => ended, { timeout: 5_000 }).toBe(CALLS)
})
