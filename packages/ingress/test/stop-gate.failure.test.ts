// An instance that stops refuses requests that would not end in time. That is a promise that they did not run, so it must hold, and it must
// take no answer away that a caller can still get.
import { silentLogger } from '@limpetwinch/core'
import { beforeEach, describe, expect, it } from 'vitest'
import type { RoutedRequest } from '../src/relay/routed-request.js'
import { StopGate } from '../src/relay/stop-gate.js'
import { ManualClock } from './support/manual-clock.js'

const LEFT_MILLISECONDS = 4_000
const LONG_MILLISECONDS = 5_000

let clock: ManualClock
let gate: StopGate

beforeEach(() => {
  clock = new ManualClock()
  gate = new StopGate(clock, silentLogger())
})

function request (outputTokens = 0, name = 'r'): RoutedRequest {
  return { route: { name, kind: 'stream' }, facts: { requestId: 'one', lastEventId: undefined, tokens: outputTokens > 0 ? 'stated' : 'unstated', outputTokens } } as unknown as RoutedRequest
}

function learn (sample: RoutedRequest, milliseconds: number): void {
  for (let run = 0; run < 3; run += 1) gate.record(sample, { milliseconds, answerMilliseconds: milliseconds })
}

function isRefused (asked: RoutedRequest, forecastMilliseconds?: number): boolean {
  return gate.refusalOf(asked, forecastMilliseconds) !== undefined
}

describe('the requests of an instance that stops', () => {
  // Guards against a request that left a slow endpoint for another one and was refused there: its first run was given up for nothing.
  it('are not refused once an endpoint may have begun to run them, unless it proves that it did not', () => {
    learn(request(), LONG_MILLISECONDS)
    gate.begin(clock.now() + LEFT_MILLISECONDS)
    const asked = request()
    const before = isRefused(asked)
    const first = gate.sent(asked)
    const after = isRefused(asked)
    const second = gate.sent(asked)
    gate.notRun(asked)
    expect({ before, first, after, second, notRun: isRefused(asked) }).toEqual({ before: true, first: true, after: false, second: false, notRun: true })
  })

  // Guards against refusals while the instance does not stop, and of requests of which nothing is known while they are accepted.
  it('are refused by what is known of their route, and without it only when no more are accepted', () => {
    learn(request(), LONG_MILLISECONDS)
    const running = isRefused(request())
    gate.begin(clock.now() + LEFT_MILLISECONDS)
    const accepted = [isRefused(request()), isRefused(request(0, 'new'))]
    gate.rotationEnded()
    expect({ running, accepted, later: isRefused(request(0, 'new')) }).toEqual({ running: false, accepted: [true, false], later: true })
  })

  // Guards against streams that are judged by the mean of their route, although their callers state how long each may become.
  it('are judged by their stated tokens and the forecast of their first event', () => {
    learn(request(100), 2_000)
    gate.begin(clock.now() + LEFT_MILLISECONDS)
    expect([isRefused(request(100)), isRefused(request(300)), isRefused(request(100), 3_000)]).toEqual([false, true, true])
  })
})
