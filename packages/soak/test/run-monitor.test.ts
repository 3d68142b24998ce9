// Guards against descriptions of a violation that do not show its cause. A late response has many possible causes: the client wrote the
// request late or twice, the event loop of this process was blocked, or the instance read the request late or was paused.
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { SampleCaller } from '@limpetwinch/platform'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Violation } from '../src/checks/soak-check.js'
import { RunMonitor } from '../src/observation/run-monitor.js'
import { SoakRecord } from '../src/soak-record.js'

const BLOCKED_MILLISECONDS = 400
/** More than two sample intervals of the monitor. */
const SAMPLES_MILLISECONDS = 250

let server: Server
let caller: SampleCaller
let monitor: RunMonitor

beforeEach(async () => {
  server = createServer((_incoming, outgoing) => { outgoing.end('yes') })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  caller = new SampleCaller(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  monitor = new RunMonitor('s1-', () => [])
  monitor.start()
})

afterEach(async () => {
  monitor.stop()
  await caller.close()
  server.close()
})

/** Sends a request and runs a function. @returns the description of a violation over that time */
async function describeRequest (action: () => Promise<void>, instance?: string): Promise<readonly string[]> {
  const from = Date.now()
  await caller.send({ id: 's1-1', route: 'list', deadlineMilliseconds: 5_000 })
  await action()
  const violation: Violation = { message: 'late', from, to: Date.now(), request: 's1-1', ...(instance === undefined ? {} : { instance }) }
  return monitor.describeViolation(violation, new SoakRecord())
}

describe('the description of a violation', () => {
  it('shows each time that the client wrote the request, and when the response started', async () => {
    const account = await describeRequest(async () => await Promise.resolve())
    expect(account.filter((line) => line.includes('s1-1: written on port'))).toHaveLength(1)
    expect(account.filter((line) => line.includes('s1-1: the answer began'))).toHaveLength(1)
  })

  it('shows that the event loop of this process was blocked', async () => {
    const account = await describeRequest(async () => {
      const until = performance.now() + BLOCKED_MILLISECONDS
      while (performance.now() < until);
      await sleep(SAMPLES_MILLISECONDS)
    })
    const delay = account.map((line) => /^timers of the soak were late by up to (\d+) ms$/.exec(line)?.[1]).find((found) => found !== undefined)
    expect(Number(delay)).toBeGreaterThan(BLOCKED_MILLISECONDS / 2)
  })

  it('contains the log lines of all instances on the request, and the instance-wide lines of the instance concerned', async () => {
    const account = await describeRequest(async () => {
      monitor.addLine('two', '{"request":"s1-1","label":"relay","level":"debug"}')
      monitor.addLine('one', '{"request":"s1-10","label":"relay","level":"info"}')
      monitor.addLine('one', '{"label":"clock","level":"warn"}')
      monitor.addLine('two', '{"label":"store","level":"warn"}')
      await Promise.resolve()
    }, 'one')
    const lines = account.filter((line) => line.includes('label')).map((line) => line.slice(line.indexOf(' ') + 1))
    expect(lines).toEqual(['two {"request":"s1-1","label":"relay","level":"debug"}', 'one {"label":"clock","level":"warn"}'])
  })

  it('leaves out requests of other runs in the same process', async () => {
    const otherMonitor = new RunMonitor('s2-', () => [])
    otherMonitor.start()
    await caller.send({ id: 's1-2', route: 'list', deadlineMilliseconds: 5_000 })
    otherMonitor.stop()
    const account = otherMonitor.describeViolation({ message: '', from: 0, to: Date.now(), request: 's1-2' }, new SoakRecord())
    expect(account.filter((line) => line.includes('written'))).toEqual([])
  })
})
