// A late answer has many possible causes: the client wrote the request late or twice, this process was held up, the instance
// read it late or stood still. The account of a violation must tell them apart, or the violation is never traced.
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { SampleCaller } from '@limpetwinch/platform'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Violation } from '../src/checks/soak-check.js'
import { RunMonitor } from '../src/observation/run-monitor.js'
import { SoakRecord } from '../src/soak-record.js'

const HELD_UP_MILLISECONDS = 400
/** Two of the witness's looks. */
const LOOKS_MILLISECONDS = 250

let server: Server
let caller: SampleCaller
let witness: RunMonitor

beforeEach(async () => {
  server = createServer((_incoming, outgoing) => { outgoing.end('yes') })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  caller = new SampleCaller(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  witness = new RunMonitor('s1-', () => [])
  witness.start()
})

afterEach(async () => {
  witness.stop()
  await caller.close()
  server.close()
})

/** @returns the account of a request that was sent now, while something happens */
async function accountOf (meanwhile: () => Promise<void>, instance?: string): Promise<readonly string[]> {
  const from = Date.now()
  await caller.send({ id: 's1-1', route: 'list', deadlineMilliseconds: 5_000 })
  await meanwhile()
  const violation: Violation = { message: 'late', from, to: Date.now(), request: 's1-1', ...(instance === undefined ? {} : { instance }) }
  return witness.describeViolation(violation, new SoakRecord())
}

describe('the account of a violation', () => {
  it('tells each time that the client wrote the request, and when its answer began', async () => {
    const account = await accountOf(async () => await Promise.resolve())
    expect(account.filter((line) => line.includes('s1-1: written on port'))).toHaveLength(1)
    expect(account.filter((line) => line.includes('s1-1: the answer began'))).toHaveLength(1)
  })

  it('tells that this process was held up', async () => {
    const account = await accountOf(async () => {
      const until = performance.now() + HELD_UP_MILLISECONDS
      while (performance.now() < until);
      await sleep(LOOKS_MILLISECONDS)
    })
    const late = account.map((line) => /^timers of the soak were late by up to (\d+) ms$/.exec(line)?.[1]).find((found) => found !== undefined)
    expect(Number(late)).toBeGreaterThan(HELD_UP_MILLISECONDS / 2)
  })

  it('holds what instances logged of the request, and what else the instance itself told', async () => {
    const account = await accountOf(async () => {
      witness.addLine('two', '{"request":"s1-1","label":"relay","level":"debug"}')
      witness.addLine('one', '{"request":"s1-10","label":"relay","level":"info"}')
      witness.addLine('one', '{"label":"clock","level":"warn"}')
      witness.addLine('two', '{"label":"store","level":"warn"}')
      await Promise.resolve()
    }, 'one')
    const lines = account.filter((line) => line.includes('label')).map((line) => line.slice(line.indexOf(' ') + 1))
    expect(lines).toEqual(['two {"request":"s1-1","label":"relay","level":"debug"}', 'one {"label":"clock","level":"warn"}'])
  })

  it('forgets what other runs of the process sent', async () => {
    const others = new RunMonitor('s2-', () => [])
    others.start()
    await caller.send({ id: 's1-2', route: 'list', deadlineMilliseconds: 5_000 })
    others.stop()
    const account = others.describeViolation({ message: '', from: 0, to: Date.now(), request: 's1-2' }, new SoakRecord())
    expect(account.filter((line) => line.includes('written'))).toEqual([])
  })
})
