// Guards against refusing callers who did nothing, under this load: many endpoints crash at once for a common reason, and parts that many
// prompts share were in flight at most of them, while requests with the same parts go on elsewhere.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { PromptPartQuarantine, SOUND_AFTER_MILLISECONDS } from '../src/quarantine/prompt-part-quarantine.js'
import type { IngressMetrics } from '../src/observability/ingress-metrics.js'
import { RequestQuarantine } from '../src/quarantine/request-quarantine.js'
import type { RequestQuarantineDependencies } from '../src/quarantine/request-quarantine.js'
import type { RoutedRequest } from '../src/relay/routed-request.js'

const CRASHES = 10
const ENGINES = 42
/** Detected crash times; the reports of other instances arrive up to 300 ms later. */
const CRASHED_AT = 12_250
const GOING_ON = SOUND_AFTER_MILLISECONDS

function request (...parts: string[]): RoutedRequest {
  return { facts: { requestId: 'r', adapter: undefined, promptParts: [...parts, 'own'].map((id) => ({ id, tokens: 100 })) } } as unknown as RoutedRequest
}

/** One instance, which hears of sound parts what it announces itself. */
class Instance {
  now = CRASHED_AT
  readonly parts = new PromptPartQuarantine({
    now: () => this.now,
    logger: silentLogger(),
    metrics: { quarantineActionTaken: () => {} } as unknown as IngressMetrics,
    endpointCount: () => ENGINES,
    announceSound: () => {},
    released: () => {}
  })

  /** Records a report of this or another instance on each crash. */
  report (victims: readonly RoutedRequest[], isOwn: boolean): void {
    for (let crash = 0; crash < CRASHES; crash += 1) {
      const runs = victims.flatMap((victim) => this.parts.accusedRun(victim, { milliseconds: 100, answerMilliseconds: undefined, response: 'none' }) ?? [])
      this.parts.record({ life: `engine-${crash}/1`, service: 'engines', at: CRASHED_AT }, runs, isOwn)
    }
  }

  isOnTrial (...parts: string[]): boolean {
    return this.parts.partOnTrial(request(...parts), this.now) !== undefined
  }
}

describe('parts that many prompts share, when many endpoints crash at once', () => {
  it('are not suspected while answers on them go on, although reports on the crashes follow', () => {
    const instance = new Instance()
    const running = request('shared')
    const trials: boolean[] = []
    for (const isOwn of [true, false, false]) {
      instance.report([request('shared')], isOwn)
      instance.now += 50
      instance.parts.answering(running, GOING_ON + instance.now - CRASHED_AT)
      trials.push(instance.isOnTrial('shared'))
    }
    instance.report([request('shared')], false)
    expect([...trials, instance.isOnTrial('shared')]).toEqual([false, false, false, false])
  })

  it('are cleared again by an answer that goes on, when endpoints crash later', () => {
    const instance = new Instance()
    const running = request('shared')
    instance.report([request('shared')], true)
    instance.parts.answering(running, GOING_ON)
    instance.now += 2_000
    for (let crash = 0; crash < CRASHES; crash += 1) {
      instance.parts.record({ life: `later-${crash}/1`, service: 'engines', at: instance.now }, [{ parts: instance.parts.accusedRun(request('shared'), { milliseconds: 100, answerMilliseconds: undefined, response: 'none' })?.parts ?? [], milliseconds: 100 }], false)
    }
    const before = instance.isOnTrial('shared')
    instance.now += 50
    instance.parts.answering(running, GOING_ON + 2_050)
    expect([before, instance.isOnTrial('shared')]).toEqual([true, false])
  })

  // The safeguard itself: no answer on this part goes on, whatever else is sound.
  it('are still suspected when no answer on them goes on', () => {
    const instance = new Instance()
    for (const isOwn of [true, false]) {
      instance.report([request('bad', 'shared')], isOwn)
      instance.now += 50
      instance.parts.answering(request('shared'), GOING_ON)
    }
    expect([instance.isOnTrial('bad'), instance.isOnTrial('shared')]).toEqual([true, false])
  })
})

describe('an answer that began before the first crash', () => {
  let quarantine: RequestQuarantine | undefined

  afterEach(() => quarantine?.answerTime.keepOn(false))

  // The time of answers stood still until a crash was known, so that for 400 ms no answer was sound, however long it had gone on.
  it('clears its parts as soon as it goes on', async () => {
    quarantine = new RequestQuarantine({
      clock: new SystemClock(),
      logger: silentLogger(),
      metrics: { quarantineActionTaken: () => {} },
      announcer: { soundPart: () => {}, released: () => {} },
      endpointCount: () => ENGINES
    } as unknown as RequestQuarantineDependencies)
    const [other, running] = [request('shared'), request('shared')]
    const began = quarantine.answerTime.now()
    await sleep(GOING_ON + 200)
    const parts = new Instance().parts.accusedRun(request('shared'), { milliseconds: 100, answerMilliseconds: undefined, response: 'none' })?.parts ?? []
    for (let crash = 0; crash < CRASHES; crash += 1) quarantine.applyPeerCrash({ life: `engine-${crash}/1`, service: 'engines', at: new SystemClock().now() }, [], [{ parts, milliseconds: 100 }])
    const before = quarantine.isUnsuspected(other)
    quarantine.answering(running, quarantine.answerTime.now() - began)
    expect([before, quarantine.isUnsuspected(other)]).toEqual([false, true])
  })
})
