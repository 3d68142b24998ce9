// Guards against wrong quarantine decisions. The only evidence is which requests were in flight when an endpoint crashed, so an
// innocent request that runs beside the crashing one can look guilty, and a crashing one can hide among unrelated crashes.
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { CrashTracker, joinFingerprint } from '../src/index.js'
import type { InFlightRequest, FingerprintPrefix, QuarantineDecision, RequestFingerprint } from '../src/index.js'

const ENGINES = 10
const SERVICE = 'engines'
const MAXIMUM_WRONG_SHARE = 0.01
const BETWEEN_CRASHES = 1_000

function fingerprint (name: string): RequestFingerprint {
  return joinFingerprint(name as FingerprintPrefix, 'body')
}

const CRASHING = fingerprint('guilty')
const COMPANION = fingerprint('companion')
const BYSTANDER = fingerprint('bystander')

/** A crash tracker that is fed one crash per second. */
class Crashes {
  readonly tracker = new CrashTracker(() => ENGINES)
  private count = 0
  now = 0

  /** Records one more crash. @returns requests whose quarantine was decided or confirmed by it */
  crash (inFlight: readonly (Partial<InFlightRequest> & { readonly fingerprint: RequestFingerprint })[], life = `life-${this.count++}`): RequestFingerprint[] {
    this.now += BETWEEN_CRASHES
    const requests = inFlight.map((request) => ({ milliseconds: 100, isolated: false, ...request }))
    const confirmed = this.tracker.record({ life, service: SERVICE, at: this.now }, requests)
    return [...confirmed, ...this.tracker.decide(life)].map((decision) => decision.fingerprint)
  }

  standing (of: RequestFingerprint): string {
    return this.tracker.standing(of, this.now)
  }
}

function alone (of: RequestFingerprint): InFlightRequest {
  return { fingerprint: of, milliseconds: 100, isolated: true }
}

describe('a request that crashes its endpoints', () => {
  // Guards against a crashing request that is never quarantined, because no single crash identifies it.
  it('runs in isolation after two crashes and is quarantined after the third', () => {
    const crashes = new Crashes()
    expect(crashes.crash([{ fingerprint: CRASHING }])).toEqual([])
    expect(crashes.standing(CRASHING)).toBe('unsuspected')
    expect(crashes.crash([{ fingerprint: CRASHING }])).toEqual([])
    expect(crashes.standing(CRASHING)).toBe('suspected')
    expect(crashes.crash([alone(CRASHING)])).toEqual([CRASHING])
    expect(crashes.standing(CRASHING)).toBe('quarantined')
  })

  // Guards against quarantining a request that was only in flight each time, and against suspicion that stays after the cause is known.
  it('clears requests that were in flight at the same crashes when it is quarantined', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: CRASHING }, { fingerprint: COMPANION }])
    expect(crashes.standing(COMPANION)).toBe('suspected')
    expect(crashes.crash([alone(CRASHING), { fingerprint: BYSTANDER }])).toEqual([CRASHING])
    expect(crashes.tracker.crashCount(BYSTANDER)).toBe(0)
    expect(crashes.standing(COMPANION)).toBe('unsuspected')
    expect(crashes.tracker.crashCount(COMPANION)).toBe(0)
  })

  // Guards against another instance's report that arrives after the quarantine decision and implicates that instance's requests.
  it('clears requests in flight that are reported after it was quarantined', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: CRASHING }])
    crashes.crash([alone(CRASHING)], 'last')
    crashes.crash([{ fingerprint: COMPANION }], 'last')
    expect(crashes.tracker.crashCount(COMPANION)).toBe(0)
  })

  // Guards against quarantining both of two suspected requests that ran on the same endpoint.
  it('is not distinguished from another suspected request that ran on the same endpoint', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: CRASHING }, { fingerprint: COMPANION }])
    expect(crashes.crash([alone(CRASHING), alone(COMPANION)])).toEqual([])
    expect(crashes.standing(COMPANION)).toBe('suspected')
  })

  // Guards against quarantining both of two requests that two instances report, where each instance knows only its own request.
  it('is not distinguished from a request on the same endpoint that another instance reports', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: CRASHING }, { fingerprint: COMPANION }])
    crashes.tracker.record({ life: 'shared', service: SERVICE, at: crashes.now }, [alone(CRASHING)])
    crashes.tracker.record({ life: 'shared', service: SERVICE, at: crashes.now }, [alone(COMPANION)])
    expect(crashes.tracker.decide('shared')).toEqual([])
    expect(crashes.crash([alone(CRASHING)])).toEqual([CRASHING])
    expect(crashes.standing(COMPANION)).toBe('unsuspected')
  })

  // Guards against quarantining an isolated innocent request when the crashing one reached its endpoint before it became suspected.
  it('is not distinguished from a request that reached the endpoint before it became suspected', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: CRASHING }, { fingerprint: COMPANION }])
    expect(crashes.crash([alone(COMPANION), { fingerprint: CRASHING }])).toEqual([])
    expect(crashes.crash([alone(CRASHING)])).toEqual([CRASHING])
  })

  // Guards against a slowly crashing request that is never identified, because many unrelated crashes happen meanwhile.
  it('is quarantined after five crashes that may be coincidence, for a shorter time', () => {
    const crashes = new Crashes()
    const decisions: RequestFingerprint[][] = []
    for (let crash = 0; crash < 5; crash += 1) {
      for (let other = 0; other < 10; other += 1) crashes.crash([{ fingerprint: fingerprint(`other-${crash}-${other}`) }])
      decisions.push(crashes.crash([{ ...alone(CRASHING), milliseconds: 5_000 }]))
    }
    expect(decisions).toEqual([[], [], [], [], [CRASHING]])
    const decision = crashes.tracker.verdict(CRASHING) as QuarantineDecision
    expect({ certain: decision.certain, seconds: (decision.until - crashes.now) / 1_000 }).toEqual({ certain: false, seconds: 60 })
  })

  // Guards against a request that is sent without limit to endpoints that refuse it because they are full: every send counts.
  it('is sent at most twice after three crashes, whatever the result, and cleared by a completed run', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 3; crash += 1) crashes.crash([{ fingerprint: CRASHING }, { fingerprint: COMPANION }])
    const standings = [1, 2].map(() => {
      crashes.tracker.sent(CRASHING, crashes.now)
      return crashes.standing(CRASHING)
    })
    expect(standings).toEqual(['suspected', 'quarantined'])
    expect(crashes.tracker.completed(CRASHING)).toBe(true)
    expect(crashes.standing(CRASHING)).toBe('unsuspected')
  })

  // Guards against an innocent request that is refused for ever, and a crashing one that needs three more crashes after its quarantine.
  it('gets one trial run after its quarantine: a crash renews the quarantine, a completed run clears the request', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 3; crash += 1) crashes.crash([alone(CRASHING)])
    crashes.tracker.reconsider(CRASHING)
    expect(crashes.standing(CRASHING)).toBe('suspected')
    crashes.tracker.sent(CRASHING, crashes.now)
    expect(crashes.standing(CRASHING)).toBe('quarantined')
    expect(crashes.crash([alone(CRASHING)])).toEqual([CRASHING])
    expect(crashes.standing(CRASHING)).toBe('quarantined')
    crashes.tracker.reconsider(CRASHING)
    expect(crashes.tracker.completed(CRASHING)).toBe(true)
    expect(crashes.standing(CRASHING)).toBe('unsuspected')
    expect(crashes.tracker.mayBeTracked(() => 'guilty' as FingerprintPrefix)).toBe(false)
  })

  // Guards against suspicion that accumulates over the many runs of an innocent request.
  it('is distinguished by never completing: a completed run clears all earlier crashes', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: COMPANION }])
    expect(crashes.tracker.completed(COMPANION)).toBe(true)
    crashes.crash([{ fingerprint: COMPANION }])
    expect(crashes.standing(COMPANION)).toBe('unsuspected')
  })
})

describe('crashes that no request causes', () => {
  // Guards against decisions by the number of crashes alone: long streams are in flight at many crashes.
  it('quarantine fewer than one in a hundred long streams', () => {
    const runs = Array.from({ length: 20 }, (_, seed) => simulateCrashes(seed + 1, 400))
    const streams = runs.reduce((sum, run) => sum + run.streams, 0)
    const quarantined = runs.reduce((sum, run) => sum + run.quarantined, 0)
    expect(quarantined / streams).toBeLessThan(MAXIMUM_WRONG_SHARE)
  })

  // Guards against memory that grows with every crash while an instance runs.
  it('leave no request implicated after the retention time', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 3_000; crash += 1) crashes.crash([{ fingerprint: fingerprint(`one-${crash}`) }])
    expect(crashes.tracker.implicatedCount).toBeLessThanOrEqual(250)
    crashes.tracker.expire(crashes.now + 600_000)
    expect(crashes.tracker.implicatedCount).toBe(0)
  })
})

/** Simulates one engine crash per second under streams of 1 to 5 s that are retried when cut. @returns how many streams were quarantined */
function simulateCrashes (seed: number, streams: number): { readonly streams: number, readonly quarantined: number } {
  const crashes = new Crashes()
  const random = fc.sample(fc.noBias(fc.integer({ min: 0, max: 2 ** 30 })), { seed, numRuns: 20_000 })
  let drawn = 0
  const draw = (): number => (random[drawn++ % random.length] ?? 0) / (2 ** 30 + 1)
  let running: { name: RequestFingerprint, engine: number, since: number, until: number, milliseconds: number }[] = []
  let started = 0
  const quarantined = new Set<RequestFingerprint>()
  const begin = (name: RequestFingerprint, milliseconds: number): void => {
    const since = crashes.now + BETWEEN_CRASHES * draw()
    running.push({ name, engine: Math.floor(draw() * ENGINES), since, until: since + milliseconds, milliseconds })
  }
  while (started < streams) {
    for (let each = 0; each < 7; each += 1) begin(fingerprint(`stream-${started++}`), 1_000 + 4_000 * draw())
    const crashesAt = crashes.now + BETWEEN_CRASHES
    for (const { name, until } of running) if (until <= crashesAt) crashes.tracker.completed(name)
    running = running.filter(({ until }) => until > crashesAt)
    const engine = Math.floor(draw() * ENGINES)
    const inFlight = running.filter((run) => run.engine === engine)
    running = running.filter((run) => run.engine !== engine)
    const isolated = (name: RequestFingerprint): boolean => crashes.standing(name) === 'suspected'
    const decisions = crashes.crash(inFlight.map(({ name, since }) => ({ fingerprint: name, milliseconds: crashesAt - since, isolated: isolated(name) })))
    for (const name of decisions) quarantined.add(name)
    for (const { name, milliseconds } of inFlight) if (crashes.standing(name) !== 'quarantined') begin(name, milliseconds)
  }
  return { streams: started, quarantined: quarantined.size }
}
