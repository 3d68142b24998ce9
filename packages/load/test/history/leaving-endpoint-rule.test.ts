// Guards against a rule that blames instances for sending work to a leaving endpoint while the platform's outage kept all
// of them from learning about the leaving, and against a rule that excuses later work.
import { describe, expect, it } from 'vitest'
import { History } from '../../src/history/history.js'
import type { HistoryEvent } from '../../src/history/index.js'
import { LeavingEndpointRule } from '../../src/history/rules/leaving-endpoint-rule.js'

const GRACE = 1_500
const rule = new LeavingEndpointRule(GRACE)
const LEAVING_AT = 10_000

function leaving (at = LEAVING_AT): HistoryEvent {
  return { event: 'endpoint-leaving', at, endpoint: 'engine-1' }
}

function run (at: number): HistoryEvent {
  return { event: 'run-started', at, endpoint: 'engine-1', run: `run-${at}`, request: 'r1' }
}

function outage (from: number, to: number, kind = 'store-out'): HistoryEvent[] {
  const instances = ['one', 'two']
  return [
    { event: 'fault-started', at: from, fault: `${kind} ${from}`, kind, instances },
    { event: 'fault-ended', at: to, fault: `${kind} ${from}`, kind, instances }
  ]
}

function countViolations (...events: HistoryEvent[]): number {
  return rule.check(new History(events)).length
}

describe('work to a leaving endpoint', () => {
  it('may start within the grace period and not after the period', () => {
    expect(countViolations(leaving(), run(LEAVING_AT + GRACE))).toBe(0)
    expect(countViolations(leaving(), run(LEAVING_AT + GRACE + 1))).toBe(1)
  })

  // The platform has an outage, and an engine is listed as leaving while no instance can read the list. An instance that
  // was paused resumes and sends more requests to the engine. No instance can learn about the leaving before the
  // platform responds again, 10 ms before the last run. Callers receive all responses. The history of seed 119424158 has
  // this order.
  it('may start while no instance could read the list, as in the history of seed 119424158', () => {
    expect(countViolations(...outage(LEAVING_AT - 19, LEAVING_AT + 1_659), leaving(), run(LEAVING_AT + 1_634), run(LEAVING_AT + 1_652), run(LEAVING_AT + 1_767))).toBe(0)
  })

  it('may not start later than the grace period after the list can be read again', () => {
    const back = LEAVING_AT + 1_659
    expect(countViolations(...outage(LEAVING_AT - 19, back), leaving(), run(back + GRACE))).toBe(0)
    expect(countViolations(...outage(LEAVING_AT - 19, back), leaving(), run(back + GRACE + 1))).toBe(1)
  })

  it('counts the time before and after an outage together', () => {
    const events = [leaving(), ...outage(LEAVING_AT + 1_000, LEAVING_AT + 2_000)]
    expect(countViolations(...events, run(LEAVING_AT + 2_500))).toBe(0)
    expect(countViolations(...events, run(LEAVING_AT + 2_501))).toBe(1)
  })

  it('is not excused by an outage that ended before the listing, nor by a fault during which the list can be read', () => {
    expect(countViolations(...outage(LEAVING_AT - 2_000, LEAVING_AT - 1), leaving(), run(LEAVING_AT + GRACE + 1))).toBe(1)
    expect(countViolations(...outage(LEAVING_AT, LEAVING_AT + 1_000, 'cut-from-platform'), leaving(), run(LEAVING_AT + GRACE + 1))).toBe(1)
    expect(countViolations(...outage(LEAVING_AT, LEAVING_AT + 1_000, 'store-slow'), leaving(), run(LEAVING_AT + GRACE + 1))).toBe(1)
  })
})
