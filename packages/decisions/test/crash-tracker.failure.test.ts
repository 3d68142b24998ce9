// Which request crashes the endpoints that run it, when all that is seen is who was aboard.
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { CrashTracker, joinFingerprint } from '../src/index.js'
import type { InFlightRequest, FingerprintPrefix, QuarantineDecision, RequestFingerprint } from '../src/index.js'

const ENGINES = 10
const SERVICE = 'engines'
const CHANCE_ALLOWED = 0.01
const BETWEEN_CRASHES = 1_000

function fingerprint (name: string): RequestFingerprint {
  return joinFingerprint(name as FingerprintPrefix, 'body')
}

const GUILTY = fingerprint('guilty')
const COMPANION = fingerprint('companion')
const BYSTANDER = fingerprint('bystander')

/** A ledger, and crashes one after the other. */
class Crashes {
  readonly ledger = new CrashTracker(() => ENGINES)
  private count = 0
  now = 0

  /** @returns verdicts that follow on one more crash */
  crash (aboard: readonly (Partial<InFlightRequest> & { readonly fingerprint: RequestFingerprint })[], life = `life-${this.count++}`): RequestFingerprint[] {
    this.now += BETWEEN_CRASHES
    const requests = aboard.map((request) => ({ milliseconds: 100, isolated: false, ...request }))
    const confirmed = this.ledger.record({ life, service: SERVICE, at: this.now }, requests)
    return [...confirmed, ...this.ledger.decide(life)].map((verdict) => verdict.fingerprint)
  }

  standing (of: RequestFingerprint): string {
    return this.ledger.standing(of, this.now)
  }
}

function alone (of: RequestFingerprint): InFlightRequest {
  return { fingerprint: of, milliseconds: 100, isolated: true }
}

describe('a request that crashes its endpoints', () => {
  // Guards against a request that is run for ever since no single crash proves anything.
  it('is run apart after two crashes and held back after the third', () => {
    const crashes = new Crashes()
    expect(crashes.crash([{ fingerprint: GUILTY }])).toEqual([])
    expect(crashes.standing(GUILTY)).toBe('unsuspected')
    expect(crashes.crash([{ fingerprint: GUILTY }])).toEqual([])
    expect(crashes.standing(GUILTY)).toBe('suspected')
    expect(crashes.crash([alone(GUILTY)])).toEqual([GUILTY])
    expect(crashes.standing(GUILTY)).toBe('quarantined')
  })

  // Guards against a verdict on what was only aboard each time, and against a blame that stays when the cause is known.
  it('takes the blame from requests that were aboard at the same crashes', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: GUILTY }, { fingerprint: COMPANION }])
    expect(crashes.standing(COMPANION)).toBe('suspected')
    expect(crashes.crash([alone(GUILTY), { fingerprint: BYSTANDER }])).toEqual([GUILTY])
    expect(crashes.ledger.crashCount(BYSTANDER)).toBe(0)
    expect(crashes.standing(COMPANION)).toBe('unsuspected')
    expect(crashes.ledger.crashCount(COMPANION)).toBe(0)
  })

  // Guards against the report of another instance that comes after the verdict and accuses what it had aboard.
  it('takes the blame also from requests that are reported later', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: GUILTY }])
    crashes.crash([alone(GUILTY)], 'last')
    crashes.crash([{ fingerprint: COMPANION }], 'last')
    expect(crashes.ledger.crashCount(COMPANION)).toBe(0)
  })

  // Guards against a verdict that two suspected requests on one endpoint get together.
  it('is not told from another suspected request that ran on the same endpoint', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: GUILTY }, { fingerprint: COMPANION }])
    expect(crashes.crash([alone(GUILTY), alone(COMPANION)])).toEqual([])
    expect(crashes.standing(COMPANION)).toBe('suspected')
  })

  // Guards against a verdict on both of two that are reported by two instances, each of which knows of its own only.
  it('is not told from another one on the same endpoint that another instance reports', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: GUILTY }, { fingerprint: COMPANION }])
    crashes.ledger.record({ life: 'shared', service: SERVICE, at: crashes.now }, [alone(GUILTY)])
    crashes.ledger.record({ life: 'shared', service: SERVICE, at: crashes.now }, [alone(COMPANION)])
    expect(crashes.ledger.decide('shared')).toEqual([])
    expect(crashes.crash([alone(GUILTY)])).toEqual([GUILTY])
    expect(crashes.standing(COMPANION)).toBe('unsuspected')
  })

  // Guards against a verdict on the one that ran apart when the guilty one had been sent to its endpoint before it was suspected.
  it('is not told from one that was on the endpoint before it became suspected', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: GUILTY }, { fingerprint: COMPANION }])
    expect(crashes.crash([alone(COMPANION), { fingerprint: GUILTY }])).toEqual([])
    expect(crashes.crash([alone(GUILTY)])).toEqual([GUILTY])
  })

  // Guards against a slow one that hides among crashes of which it is not the cause.
  it('is held back after five crashes though it may be chance, and for a shorter time', () => {
    const crashes = new Crashes()
    const verdicts: RequestFingerprint[][] = []
    for (let crash = 0; crash < 5; crash += 1) {
      for (let other = 0; other < 10; other += 1) crashes.crash([{ fingerprint: fingerprint(`other-${crash}-${other}`) }])
      verdicts.push(crashes.crash([{ ...alone(GUILTY), milliseconds: 5_000 }]))
    }
    expect(verdicts).toEqual([[], [], [], [], [GUILTY]])
    const verdict = crashes.ledger.verdict(GUILTY) as QuarantineDecision
    expect({ certain: verdict.certain, seconds: (verdict.until - crashes.now) / 1_000 }).toEqual({ certain: false, seconds: 60 })
  })

  // Guards against a request that is sent on and on to endpoints that refuse it, being full: each send counts for the server.
  it('is sent twice at most after three crashes, whatever comes of it, and cleared by an end', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 3; crash += 1) crashes.crash([{ fingerprint: GUILTY }, { fingerprint: COMPANION }])
    const standings = [1, 2].map(() => {
      crashes.ledger.sent(GUILTY, crashes.now)
      return crashes.standing(GUILTY)
    })
    expect(standings).toEqual(['suspected', 'quarantined'])
    expect(crashes.ledger.completed(GUILTY)).toBe(true)
    expect(crashes.standing(GUILTY)).toBe('unsuspected')
  })

  // Guards against an innocent request that is refused for good, and a guilty one that starts again with a clean record.
  it('is tried once more when its time is over: a crash holds it again, an end clears it', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 3; crash += 1) crashes.crash([alone(GUILTY)])
    crashes.ledger.reconsider(GUILTY)
    expect(crashes.standing(GUILTY)).toBe('suspected')
    crashes.ledger.sent(GUILTY, crashes.now)
    expect(crashes.standing(GUILTY)).toBe('quarantined')
    expect(crashes.crash([alone(GUILTY)])).toEqual([GUILTY])
    expect(crashes.standing(GUILTY)).toBe('quarantined')
    crashes.ledger.reconsider(GUILTY)
    expect(crashes.ledger.completed(GUILTY)).toBe(true)
    expect(crashes.standing(GUILTY)).toBe('unsuspected')
    expect(crashes.ledger.mayBeTracked(() => 'guilty' as FingerprintPrefix)).toBe(false)
  })

  // Guards against suspicion that adds up over an innocent request's life.
  it('is one that never comes to its end: an end clears all that was before', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 2; crash += 1) crashes.crash([{ fingerprint: COMPANION }])
    expect(crashes.ledger.completed(COMPANION)).toBe(true)
    crashes.crash([{ fingerprint: COMPANION }])
    expect(crashes.standing(COMPANION)).toBe('unsuspected')
  })
})

describe('crashes with no request to blame', () => {
  // Guards against verdicts that follow from the number of crashes alone: long streams are aboard at many.
  it('hold long streams back by chance less often than one in a hundred', () => {
    const storms = Array.from({ length: 20 }, (_, seed) => storm(seed + 1, 400))
    const streams = storms.reduce((sum, each) => sum + each.streams, 0)
    const heldBack = storms.reduce((sum, each) => sum + each.heldBack, 0)
    expect(heldBack / streams).toBeLessThan(CHANCE_ALLOWED)
  })

  // Guards against a table that grows with each crash of a long life.
  it('leave nothing behind in the end', () => {
    const crashes = new Crashes()
    for (let crash = 0; crash < 3_000; crash += 1) crashes.crash([{ fingerprint: fingerprint(`one-${crash}`) }])
    expect(crashes.ledger.implicatedCount).toBeLessThanOrEqual(250)
    crashes.ledger.expire(crashes.now + 600_000)
    expect(crashes.ledger.implicatedCount).toBe(0)
  })
})

/** One engine crashes each second; streams of 1 to 5 s are sent again when cut. @returns how many were held back */
function storm (seed: number, streams: number): { readonly streams: number, readonly heldBack: number } {
  const crashes = new Crashes()
  const random = fc.sample(fc.noBias(fc.integer({ min: 0, max: 2 ** 30 })), { seed, numRuns: 20_000 })
  let drawn = 0
  const draw = (): number => (random[drawn++ % random.length] ?? 0) / (2 ** 30 + 1)
  let running: { name: RequestFingerprint, engine: number, since: number, until: number, milliseconds: number }[] = []
  let started = 0
  const heldBack = new Set<RequestFingerprint>()
  const begin = (name: RequestFingerprint, milliseconds: number): void => {
    const since = crashes.now + BETWEEN_CRASHES * draw()
    running.push({ name, engine: Math.floor(draw() * ENGINES), since, until: since + milliseconds, milliseconds })
  }
  while (started < streams) {
    for (let each = 0; each < 7; each += 1) begin(fingerprint(`stream-${started++}`), 1_000 + 4_000 * draw())
    const crashesAt = crashes.now + BETWEEN_CRASHES
    for (const { name, until } of running) if (until <= crashesAt) crashes.ledger.completed(name)
    running = running.filter(({ until }) => until > crashesAt)
    const engine = Math.floor(draw() * ENGINES)
    const aboard = running.filter((run) => run.engine === engine)
    running = running.filter((run) => run.engine !== engine)
    const isolated = (name: RequestFingerprint): boolean => crashes.standing(name) === 'suspected'
    const verdicts = crashes.crash(aboard.map(({ name, since }) => ({ fingerprint: name, milliseconds: crashesAt - since, isolated: isolated(name) })))
    for (const name of verdicts) heldBack.add(name)
    for (const { name, milliseconds } of aboard) if (crashes.standing(name) !== 'quarantined') begin(name, milliseconds)
  }
  return { streams: started, heldBack: heldBack.size }
}
