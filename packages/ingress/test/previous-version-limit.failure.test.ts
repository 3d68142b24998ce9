// Guards against requests that are sent to an engine with an old version of their adapter and begin there after the time for it.
import { describe, expect, it } from 'vitest'
import { WaitingAttempts } from '../src/relay/waiting-attempts.js'
import { PreviousVersionLimit } from '../src/routing/previous-version-limit.js'
import { endpoint, key } from './support/samples.js'

const ENGINE = endpoint('engine').id
/** The newest version is 2, and the one before it may serve until this time. */
const UNTIL = 5_000

function mayBegin (version: number, forecastMilliseconds: number, now: number, longestSentAt?: number): boolean {
  const waiting = new WaitingAttempts()
  waiting.begin(ENGINE, 4_000)()
  if (longestSentAt !== undefined) waiting.begin(ENGINE, longestSentAt)
  const limit = new PreviousVersionLimit({ locations: { holders: () => new Map([[ENGINE, version]]) }, versions: { newest: () => 2, previousServesUntil: () => UNTIL }, waiting })
  return limit.mayBegin(ENGINE, key('poem'), forecastMilliseconds, now)
}

describe('a request that may be sent to an engine with the previous version', () => {
  it('is sent there if it begins in time by its forecast, also one that is too short', () => {
    expect([mayBegin(1, 100, 2_000), mayBegin(1, 1_500, 2_000), mayBegin(2, 1_500, 2_000)]).toEqual([true, false, true])
  })

  it('is not sent where an own request waits for so long that this one would begin too late', () => {
    expect([mayBegin(1, 100, 2_000, 1_900), mayBegin(1, 100, 2_000, 0)]).toEqual([true, false])
  })
})
