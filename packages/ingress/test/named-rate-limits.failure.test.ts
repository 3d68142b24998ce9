// Guards against a flood of notices and log lines when an endpoint names another rate limit in each response, and against a limit of an
// earlier incarnation of an endpoint, or of an endpoint that is not known.
import { beforeEach, describe, expect, it } from 'vitest'
import type { RateLimitFrame } from '@limpetwinch/core'
import { NamedRateLimits } from '../src/rate-limits/named-rate-limits.js'
import { endpointId } from './support/ingress-under-test.js'
import { ManualClock } from './support/manual-clock.js'
import { responseFacts } from './support/samples.js'
import { recordingLogger } from './support/recording-logger.js'
import type { RecordedLine } from './support/recording-logger.js'

const ENDPOINT = endpointId('a')
const BORN = 100
const FRAME: RateLimitFrame = { kind: 'rate-limit', endpoint: ENDPOINT, born: BORN, limit: 2, sentMillisecondsAgo: 50, readMillisecondsAgo: 0 }

let clock: ManualClock
let lines: RecordedLine[]
let notices: RateLimitFrame[]
let limits: NamedRateLimits

beforeEach(() => {
  clock = new ManualClock()
  lines = []
  notices = []
  limits = new NamedRateLimits({
    clock,
    logger: recordingLogger(lines),
    bornOf: (endpoint) => endpoint === ENDPOINT ? BORN : undefined,
    broadcast: (frame) => notices.push(frame),
    noticeRoundTripMilliseconds: () => 10
  })
})

/** Reads a response whose request was sent a moment ago. */
function read (rateLimit: number | undefined): void {
  limits.recordResponse(ENDPOINT, responseFacts({ rateLimit }), clock.now())
}

describe('an endpoint that names another rate limit in each response', () => {
  it('is told of in few notices, the last of them with the last value, and in one line above debug', async () => {
    for (let response = 0; response < 100; response++) {
      await clock.advance(5)
      read(1 + response % 7)
      limits.maintain()
    }
    await clock.advance(1_000)
    limits.maintain()
    expect(notices.length).toBeLessThanOrEqual(5)
    expect(notices.at(-1)?.limit).toBe(1 + 99 % 7)
    expect(lines.filter(({ message }) => message !== 'An endpoint named another rate limit.').length).toBe(1)
  })
})

describe('a notice on a rate limit', () => {
  it('is used', () => {
    limits.handleNotice(FRAME)
    expect(limits.limit(ENDPOINT)).toBe(2)
  })

  it('of an earlier incarnation, or of an endpoint that is not known, is not used', () => {
    limits.handleNotice({ ...FRAME, born: BORN - 1 })
    limits.handleNotice({ ...FRAME, endpoint: 'b' })
    expect(limits.isEmpty).toBe(true)
  })

  it('that was under way while this instance read the end of the limit does not bring the limit back', async () => {
    limits.handleNotice(FRAME)
    await clock.advance(1_000)
    read(undefined)
    limits.handleNotice({ ...FRAME, sentMillisecondsAgo: 1_500, readMillisecondsAgo: 1_200 })
    await clock.advance(5_000)
    expect(limits.limit(ENDPOINT)).toBe(undefined)
  })
})
