// The log lines are those of an overload: many requests need adapters, some wait for a slot, one adapter is loaded again right after its
// eviction, an engine receives no order for seconds, and requests are refused or truncated. The report must show each of these.
import { describe, expect, it } from 'vitest'
import { parseLogLine } from '../../src/logs/log-line.js'
import { reportPage } from '../../src/report/report-page.js'
import { reportText } from '../../src/report/report-text.js'
import { RunReporter } from '../../src/report/run-report.js'
import type { RunReport } from '../../src/report/run-report.js'

const line = (second: number, message: string, fields: Record<string, unknown>): string =>
  `front-1 ${JSON.stringify({ timestamp: new Date(1_772_000_000_000 + second * 1_000).toISOString(), level: 'info', label: 'relay', message, ...fields })}`

const order = (second: number, operation: string, adapter: string, outcome: string, more: Record<string, unknown> = {}): string =>
  line(second, 'An order was given.', { endpoint: 'e1', operation, adapter, outcome, ...more })

const LINES = [
  line(0.1, 'A load was asked for.', { request: 'r1', endpoint: 'e1', adapter: 'base/a1', waiting: true }),
  order(0.2, 'load', 'a1', 'accepted', { waited: 90, heldUpBy: 'slots in use' }),
  order(0.4, 'load', 'a1', 'accepted', { waited: 0, heldUpBy: 'nothing' }),
  order(0.5, 'load', 'a1', 'holds'),
  line(1.2, 'A request was answered.', { request: 'r1', route: 'draft', status: 200, tries: 1, milliseconds: 1_100, firstEvent: 420, loadStall: 300, longestGap: 80 }),
  line(1.3, 'A request was answered.', { request: 'r2', route: 'list', status: 200, tries: 1, milliseconds: 45 }),
  order(1.5, 'unload', 'a1', 'holds'),
  order(2.6, 'load', 'a1', 'accepted', { waited: 20, heldUpBy: 'nothing' }),
  line(2.7, 'A load was asked for.', { request: 'r3', endpoint: 'e1', adapter: 'base/a2', waiting: true }),
  line(2.9, 'A request was refused.', { request: 'r3', route: 'draft', status: 503, error: 'adapter_not_ready', reason: 'no engine took <it>', milliseconds: 1_350 }),
  line(3.1, 'An answer was cut.', { request: 'r4', route: 'draft', status: 504, error: 'deadline_passed', milliseconds: 5_000, firstEvent: 90 }),
  line(3.2, 'A caller left before its answer was whole.', { request: 'r5', route: 'draft', milliseconds: 2_000 }),
  order(5.7, 'load', 'a2', 'accepted', { waited: 3_000, heldUpBy: 'a silent engine' }),
  'not a line of ours',
  '{"half a line'
]

const loadRequest = (second: number, request: string, adapter: string, endpoint: string): string =>
  line(second, 'A load was asked for.', { request, endpoint, adapter: `base/${adapter}`, waiting: true })

const refusal = (second: number, request: string): string =>
  line(second, 'A request was refused.', { request, route: 'draft', status: 503, error: 'adapter_not_ready', reason: 'no engine took it', milliseconds: 900 })

/** Four requests for the adapter, `interval` seconds apart; all of them are refused. */
const repeatedRequests = (adapter: string, interval: number): string[] => [0, 1, 2, 3].flatMap((time) => [
  loadRequest(time * interval, `${adapter}-${time}`, adapter, time === 0 ? 'e2' : 'e1'), loadRequest(time * interval + 0.3, `${adapter}-${time}`, adapter, 'e1'), refusal(time * interval + 0.9, `${adapter}-${time}`)
])

function reportOf (lines: readonly string[]): RunReport {
  const reporter = new RunReporter()
  for (const each of lines) {
    const parsed = parseLogLine(each)
    if (parsed !== undefined) reporter.record(parsed)
  }
  return reporter.report()
}

describe('the report of a run', () => {
  it('counts requests by how and when they ended', () => {
    const { lines, seconds, routes, losses, bySecond } = reportOf(LINES)
    expect({ lines, seconds, routes: routes.map(({ route, endings }) => ({ route, endings })), losses, bySecond }).toMatchSnapshot()
  })

  it('counts each load once, with the reason for its delay, early reloads and engines without orders', () => {
    expect(reportOf(LINES).loads).toMatchSnapshot()
  })

  it('names an engine that receives no order until the last line', () => {
    expect(reportOf(LINES.slice(0, 12)).loads.idleEngines).toEqual([])
    expect(reportOf([...LINES.slice(0, 12), line(9, 'An endpoint is gone.', { endpoint: 'e2' })]).loads.idleEngines).toEqual([{ endpoint: 'e1', milliseconds: 6_300 }])
  })

  it('counts an engine without orders only until it leaves', () => {
    const left = [...LINES.slice(0, 12), line(4.7, 'An endpoint is leaving.', { endpoint: 'e1' }), line(9, 'An endpoint is gone.', { endpoint: 'e1' })]
    expect(reportOf(left).loads.idleEngines).toEqual([{ endpoint: 'e1', milliseconds: 2_000 }])
  })

  // All requests for some adapters are refused while other adapters are served. Counted by route and reason, these are just some more
  // refusals among many, so the report has to name the adapters.
  it('names adapters that are requested repeatedly and never served, with the engines asked and the ends of their requests', () => {
    const served = [loadRequest(1, 'served', 'a7', 'e1'), line(1.4, 'A request was answered.', { request: 'served', adapter: 'base/a7', route: 'draft', status: 200, firstEvent: 300 })]
    const { adapters } = reportOf([...repeatedRequests('a7', 3), ...served, ...repeatedRequests('a8', 3), ...repeatedRequests('a9', 2)])
    expect(adapters).toMatchSnapshot()
  })

  it('counts a request that has only its last line, and an error response of the engine as not served', () => {
    const failed = (second: number, request: string): string => line(second, 'A request was answered.', { request, adapter: 'base/a1', route: 'draft', status: 500 })
    const { adapters } = reportOf([failed(0, 'r1'), failed(3, 'r2'), failed(6, 'r3'), failed(9, 'r4')])
    expect(adapters.worst).toMatchObject([{ adapter: 'base/a1', requests: 4, ends: [{ name: 'answered: status 500', count: 4 }] }])
  })

  it('names a limited number of adapters, the one with most requests first, and counts all', () => {
    const many = Array.from({ length: 150 }, (_, index) => repeatedRequests(`a${index}`, 3)).flat()
    const { adapters } = reportOf([...many, loadRequest(9.5, 'one-more', 'a149', 'e1')])
    expect([adapters.neverServed, adapters.worst.length, adapters.worst[0]?.adapter]).toEqual([150, 100, 'base/a149'])
  })

  it('is rendered as text', () => {
    expect(reportText(reportOf(LINES))).toMatchSnapshot()
  })

  it('is rendered as a page with two plots and escaped reasons', () => {
    const page = reportPage(reportOf(LINES))
    expect([page.match(/<svg/g)?.length, page.includes('no engine took &lt;it&gt;'), page.includes('no engine took <it>')]).toEqual([2, true, false])
  })

  it('is empty without lines', () => {
    expect(reportOf(['nothing'])).toMatchObject({ lines: 0, seconds: 0, routes: [], bySecond: [] })
  })
})
