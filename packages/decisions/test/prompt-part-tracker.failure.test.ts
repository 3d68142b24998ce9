// Guards against parts of prompts that crash endpoints for ever, and against quarantining parts that sound requests share with them, or that
// were in flight at crashes by chance. Several instances share their evidence, and each sees only its own sound runs.
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { PromptPartTracker, partFingerprint } from '../src/index.js'
import type { AccusedRun, PartFingerprint } from '../src/index.js'

const ENGINES = 12
const INSTANCES = 6
const SERVICE = 'engines'
const WINDOW_MILLISECONDS = 150
/** Number of crashes at which the cause must be known. */
const CRASHES_ALLOWED = 5
/** Sound streams between two crashes, over all instances: 30 a second, one crash each 0.6 s. */
const SOUND_BETWEEN_CRASHES = 18

const part = (name: string): PartFingerprint => partFingerprint(name)
const BAD = part('bad')
const first = (number: number): PartFingerprint => part(`first${number % 3}`)
const second = (number: number): PartFingerprint => part(`second${number % 53}`)
const run = (...parts: PartFingerprint[]): AccusedRun => ({ parts, milliseconds: WINDOW_MILLISECONDS })

/** The trackers of a fleet whose instances hear of each other's crashes, sound parts and decisions at once. */
class Fleet {
  readonly trackers = Array.from({ length: INSTANCES }, () => new PromptPartTracker(() => ENGINES))
  private count = 0
  now = 0

  private get at (): PromptPartTracker {
    return this.trackers[this.count++ % INSTANCES]!
  }

  /** A crash under accused runs of one instance. @returns the parts that it leads to the quarantine of */
  crash (runs: readonly AccusedRun[], victims: readonly AccusedRun[] = [], afterMilliseconds = 600): PartFingerprint[] {
    this.now += afterMilliseconds
    const life = `life-${this.now}-${this.count}`
    const own = this.at
    for (const tracker of this.trackers) {
      tracker.record({ life, service: SERVICE, at: this.now }, runs, tracker === own)
      tracker.record({ life, service: SERVICE, at: this.now }, victims, false)
    }
    return this.decide(life)
  }

  /** A sound run at one instance. */
  sound (...parts: readonly PartFingerprint[]): void {
    this.at.countSoundRun()
    for (const tracker of this.trackers) for (const each of parts) tracker.clear(each)
  }

  private decide (life: string): PartFingerprint[] {
    const decisions = this.trackers.flatMap((tracker) => tracker.decide(life) ?? [])
    for (const decision of decisions) for (const tracker of this.trackers) tracker.quarantine(decision)
    return [...new Set(decisions.map(({ fingerprint }) => fingerprint))]
  }
}

/** Sound streams of the usual mix of parts. */
function soundStreams (fleet: Fleet, number = SOUND_BETWEEN_CRASHES, from = 0): void {
  for (let stream = 0; stream < number; stream += 1) fleet.sound(first(from + stream), second(from * 7 + stream))
}

/** @returns the quarantined parts, crash by crash */
function crashesOn (fleet: Fleet, prompt: (crash: number) => readonly PartFingerprint[], victims: (crash: number) => readonly AccusedRun[] = () => []): PartFingerprint[][] {
  return Array.from({ length: CRASHES_ALLOWED }, (_, crash) => {
    const quarantined = fleet.crash([run(...prompt(crash))], victims(crash))
    soundStreams(fleet, SOUND_BETWEEN_CRASHES, crash)
    return quarantined
  })
}

describe('a part of prompts that crashes endpoints', () => {
  // Guards against looking for the cause at the first part only, or at the last.
  it.each([
    ['second', (crash: number) => [first(crash), BAD]],
    ['first', (crash: number) => [BAD, second(crash)]],
    ['between shared ones', (crash: number) => [first(crash), BAD, second(crash)]],
    ['always behind the same first part', () => [first(0), BAD]]
  ] as const)('is quarantined after three crashes, and no other part is: %s', (_title, prompt) => {
    const fleet = new Fleet()
    soundStreams(fleet)
    expect(crashesOn(fleet, prompt).flat()).toEqual([BAD])
  })

  // Guards against victims that are in flight beside the crashing request and hide it.
  it('is quarantined within five crashes although a sound request is in flight at each', () => {
    const fleet = new Fleet()
    expect(crashesOn(fleet, (crash) => [first(crash), BAD], (crash) => [run(first(crash + 1), second(crash * 11))]).flat()).toEqual([BAD])
  })

  // Guards against two causes at once that are taken for coincidence of each other.
  it('is quarantined beside another one', () => {
    const fleet = new Fleet()
    const other = part('worse')
    const quarantined = Array.from({ length: 2 * CRASHES_ALLOWED }, (_, crash) => {
      const found = fleet.crash([run(first(crash), crash % 2 === 0 ? BAD : other)], [], 300)
      soundStreams(fleet, SOUND_BETWEEN_CRASHES / 2, crash)
      return found
    })
    expect(quarantined.flat().sort()).toEqual([BAD, other].sort())
  })

  // Guards against a first part that is quarantined with the one behind it, which would refuse a third of the sound requests.
  it('is the last one of parts that always come together', () => {
    const fleet = new Fleet()
    for (let crash = 0; crash < CRASHES_ALLOWED; crash += 1) {
      fleet.crash([run(first(0), BAD)])
      for (let stream = 0; stream < SOUND_BETWEEN_CRASHES; stream += 1) fleet.sound(first(1), second(stream))
    }
    expect(fleet.trackers[0]!.standing(BAD, fleet.now)).toBe('quarantined')
    expect(fleet.trackers[0]!.standing(first(0), fleet.now)).toBeUndefined()
  })

  // Guards against crashes without end while nothing succeeds by which the cause could be told: requests with the part run one at a time, twice.
  it('runs in isolation after five crashes without any sound run, and is sent twice more', () => {
    const tracker = new Fleet().trackers[0]!
    for (let crash = 0; crash < CRASHES_ALLOWED; crash += 1) tracker.record({ life: `life-${crash}`, service: SERVICE, at: crash }, [run(first(crash), BAD)], false)
    expect(tracker.decide('life-4')).toBeUndefined()
    expect(tracker.standing(BAD, 0)).toBe('suspected')
    expect([1, 2].map(() => {
      tracker.sent(BAD, 0)
      return tracker.standing(BAD, 0)
    })).toEqual(['suspected', 'quarantined'])
    expect(tracker.clear(BAD)).toBe(true)
    expect(tracker.standing(BAD, 0)).toBeUndefined()
  })

  // Guards against a part that is refused for ever, and against sends without end after its quarantine.
  it('gets one trial run after its quarantine, and a sound run clears it', () => {
    const fleet = new Fleet()
    crashesOn(fleet, (crash) => [first(crash), BAD])
    const tracker = fleet.trackers[0]!
    const until = tracker.verdict(BAD)!.until
    expect(tracker.standing(BAD, until)).toBe('suspected')
    tracker.sent(BAD, until)
    expect(tracker.standing(BAD, until)).toBe('quarantined')
    expect(tracker.clear(BAD)).toBe(true)
    expect(tracker.standing(BAD, until)).toBeUndefined()
  })
})

describe('crashes without a part of prompts as the cause', () => {
  // Guards against popular parts that are in flight at every crash when all endpoints fail for a common reason and nothing succeeds.
  it('quarantine no part while most runs fail', () => {
    const fleet = new Fleet()
    const quarantined = Array.from({ length: 40 }, (_, crash) => {
      const found = fleet.crash([run(first(crash), second(crash)), run(first(crash + 1), second(crash + 5))], [run(first(crash + 2), second(crash + 9))], 100)
      if (crash % 8 === 0) fleet.sound(first(1), second(0))
      return found
    })
    expect(quarantined.flat()).toEqual([])
  })

  // Guards against several endpoints that crash at the same moment, each with the same popular parts aboard.
  it('quarantine no part when a group of endpoints crashes at once', () => {
    const fleet = new Fleet()
    soundStreams(fleet)
    const quarantined = Array.from({ length: 6 }, (_, crash) => fleet.crash([run(first(crash), second(crash))], [run(first(crash + 1), second(crash + 20))], 0))
    expect(quarantined.flat()).toEqual([])
  })

  // Guards against popular parts that are blamed in a storm of crashes: each has sound runs between any two crashes.
  it('quarantine no popular part in any order of crashes and sound runs', () => {
    const numbers = (minimum: number, maximum: number): fc.Arbitrary<number[]> => fc.array(fc.nat(400), { minLength: minimum, maxLength: maximum })
    fc.assert(fc.property(fc.array(fc.tuple(numbers(0, 3), numbers(2, 30)), { maxLength: 60 }), (steps) => {
      const fleet = new Fleet()
      const quarantined = steps.flatMap(([accused, sound]) => {
        const found = fleet.crash(accused.map((number) => run(first(number), part(`rare${number}`))))
        for (const number of [0, 1, 2, ...sound]) fleet.sound(first(number), part(`rare${number}`))
        return found
      })
      expect(quarantined.filter((name) => name.startsWith(part('first')))).toEqual([])
    }), { numRuns: 200, seed: 54 })
  })
})
