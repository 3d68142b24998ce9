// An operator looks for the cause of one failed request in the log lines of several instances. Guards against a timeline that omits the
// lines that show the cause, or buries them under lines on other requests.
import { describe, expect, it } from 'vitest'
import { requestTimeline } from '../../src/logs/request-timeline.js'

const line = (second: number, label: string, message: string, fields: Record<string, unknown>): string =>
  JSON.stringify({ timestamp: new Date(1_772_000_000_000 + second * 1_000).toISOString(), level: 'info', label, message, ...fields })

const LINES = [
  line(10.4, 'relay', 'A request was refused.', { request: 'r1', error: 'adapter_not_ready', status: 503 }),
  'not a line of ours',
  `front-1 ${line(9.9, 'relay', 'A request was sent.', { request: 'r1', endpoint: 'e1', adapter: 'base/poem' })}`,
  line(9.5, 'loads', 'An order was given.', { endpoint: 'e1', adapter: 'poem', outcome: 'accepted' }),
  line(9.6, 'loads', 'An order was given.', { endpoint: 'e1', adapter: 'other', outcome: 'accepted' }),
  line(9.7, 'endpoints', 'An endpoint is leaving.', { endpoint: 'e1' }),
  line(9.8, 'endpoints', 'An endpoint is leaving.', { endpoint: 'e2' }),
  line(9.9, 'relay', 'A request was sent.', { request: 'r2', endpoint: 'e1' }),
  line(2, 'endpoints', 'An endpoint arrived.', { endpoint: 'e1' }),
  '{"half a line'
]

const CRASH_LINES = [
  line(20, 'quarantine', 'A request was aboard a crashed endpoint.', { request: 'first', endpoint: 'e3', fingerprint: 'guilty' }),
  line(20.01, 'quarantine', 'A request was aboard a crashed endpoint.', { request: 'near', endpoint: 'e3', fingerprint: 'near' }),
  line(30, 'quarantine', 'A request crashes endpoints and is held back.', { fingerprint: 'guilty', crashes: 3 }),
  line(90, 'relay', 'A request was refused.', { request: 'last', error: 'request_quarantined', fingerprint: 'guilty' })
]

describe('the timeline of a request', () => {
  it('contains its own lines and recent lines on the endpoints and adapters that it used, in the order of time', () => {
    expect(requestTimeline(LINES, 'r1').map(({ part, what, own, fields }) => ({ part, what, own, fields }))).toMatchSnapshot()
  })

  // Guards against a truncated stream without any line that shows which other request crashed its engine.
  it('names the requests in flight at a crash of its endpoint and the quarantine decision, even a later one', () => {
    expect(requestTimeline(CRASH_LINES, 'near').map(({ what, own, fields }) => [own, what, fields.fingerprint])).toEqual([
      [false, 'A request was aboard a crashed endpoint.', 'guilty'],
      [true, 'A request was aboard a crashed endpoint.', 'near'],
      [false, 'A request crashes endpoints and is held back.', 'guilty']
    ])
  })

  // Guards against a refusal that an operator cannot trace to crashes during which the request was in flight under earlier ids.
  it('names the earlier arrivals of a quarantined request', () => {
    expect(requestTimeline(CRASH_LINES, 'last').map(({ what, own, fields }) => [own, what, fields.endpoint])).toEqual([
      [false, 'A request was aboard a crashed endpoint.', 'e3'],
      [false, 'A request crashes endpoints and is held back.', undefined],
      [true, 'A request was refused.', undefined]
    ])
  })

  it('is empty for a request that no line names', () => {
    expect(requestTimeline(LINES, 'r9')).toEqual([])
  })
})
