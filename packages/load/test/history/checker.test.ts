// Guards against rules that report violations in correct histories, or that miss a broken promise. Each case changes a
// generated correct history so that one promise is broken, and names the events that the violation has to show.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { HistoryChecker } from '../../src/history/index.js'
import type { HistoryEvent, HistoryEventOf, HistoryEventKind, Violation } from '../../src/history/index.js'
import { answerText, correctHistory } from './correct-history.js'

const SEED = 20_261_202
const checker = new HistoryChecker(answerText, { leavingGrace: 5_000, settingsInForce: 4_000, fairness: 150 })

/** A history with one broken promise, and the events that show the violation. */
interface BrokenHistory {
  readonly events: readonly HistoryEvent[]
  readonly shownBy: readonly HistoryEvent[]
}

function first<Kind extends HistoryEventKind> (events: readonly HistoryEvent[], kind: Kind, matches: (event: HistoryEventOf<Kind>) => boolean = () => true): HistoryEventOf<Kind> {
  return events.find((event) => event.event === kind && matches(event as HistoryEventOf<Kind>)) as HistoryEventOf<Kind>
}

function replaced (events: readonly HistoryEvent[], old: HistoryEvent, changed: HistoryEvent): HistoryEvent[] {
  return events.map((event) => event === old ? changed : event)
}

function withoutLine (event: HistoryEvent & { line?: number }): HistoryEvent {
  const { line, ...rest } = event
  return rest
}

const breaks: Record<string, [promise: string, (events: readonly HistoryEvent[]) => BrokenHistory]> = {
  'a run with another team\'s adapter': ['right-adapter', (events) => {
    const run = first(events, 'run-started', (event) => event.prompt === 'prompt 0')
    const wrong = { ...run, adapter: 'team-9/adapter@v1~7' }
    return { events: replaced(events, run, wrong), shownBy: [first(events, 'request-sent'), wrong] }
  }],
  'a run with another version': ['right-adapter', (events) => {
    const run = first(events, 'run-started', (event) => event.prompt === 'prompt 0')
    const wrong = { ...run, adapter: 'team-0/adapter@v2~7' }
    return { events: replaced(events, run, wrong), shownBy: [first(events, 'request-sent'), wrong] }
  }],
  'an answer that names another version': ['right-adapter', (events) => {
    const ended = first(events, 'request-ended')
    const wrong = { ...ended, version: 'v2' }
    return { events: replaced(events, ended, wrong), shownBy: [first(events, 'request-sent'), wrong] }
  }],
  'an unload under a run': ['no-eviction-in-use', (events) => {
    const run = first(events, 'run-started')
    const unload: HistoryEvent = { event: 'order', at: run.at + 1, endpoint: run.endpoint, order: 'unload', name: run.adapter, token: 7, result: 'done' }
    return { events: [...events, unload], shownBy: [run, unload] }
  }],
  'a dropped last part': ['whole-answer', (events) => {
    const parts = events.filter((event) => event.event === 'request-part' && event.request === 'r0')
    const last = parts.at(-1)!
    return { events: events.filter((event) => event !== last), shownBy: [first(events, 'request-sent'), ...parts.slice(0, -1), first(events, 'request-ended')] }
  }],
  'the text of another request': ['whole-answer', (events) => {
    const [ours, theirs] = ['r0', 'r1'].map((request) => first(events, 'request-ended', (event) => event.request === request))
    const wrong = { ...ours!, text: theirs!.text }
    const parts = events.filter((event) => event.event === 'request-part' && event.request === 'r0')
    return { events: replaced(events, ours!, wrong), shownBy: [first(events, 'request-sent'), ...parts, wrong] }
  }],
  'a foreign part before a failure': ['whole-answer', (events) => {
    const part = first(events, 'request-part', (event) => event.request === 'r4')
    const wrong = { ...part, text: 'of another caller' }
    return { events: replaced(events, part, wrong), shownBy: [first(events, 'request-sent', (event) => event.request === 'r4'), wrong] }
  }],
  'a part received twice': ['whole-answer', (events) => {
    const part = first(events, 'request-part')
    const again = { ...part, at: part.at + 1 }
    const parts = events.filter((event) => event.event === 'request-part' && event.request === 'r0')
    const end = first(events, 'request-ended')
    // The rule reports two violations: parts out of order, and a text other than the complete response.
    return { events: [...events, again], shownBy: [first(events, 'request-sent'), parts[0]!, again, ...parts.slice(1), end] }
  }],
  'an answer that ran nowhere': ['whole-answer', (events) => {
    const kept = events.filter((event) => !(event.event === 'run-started' && event.prompt === 'prompt 0'))
    return { events: kept, shownBy: [first(events, 'request-sent'), first(events, 'request-ended')] }
  }],
  'not_run after a run': ['not-run', (events) => {
    const sent = first(events, 'request-sent', (event) => event.request === 'r2')
    const run: HistoryEvent = { event: 'run-started', at: sent.at + 5, endpoint: 'engine-0', run: 'hidden', request: 'inner-hidden', adapter: 'team-2/adapter@v1', prompt: sent.prompt }
    return { events: [...events, run], shownBy: [sent, run, first(events, 'request-ended', (event) => event.request === 'r2')] }
  }],
  'a second run of one request': ['at-most-once', (events) => {
    const sent = first(events, 'request-sent', (event) => event.request === 'r0')
    const run = first(events, 'run-started', (event) => event.prompt === 'prompt 0')
    const again = { ...run, at: run.at + 1, endpoint: 'engine-1', run: 'again' }
    return { events: [...events, again], shownBy: [sent, run, again] }
  }],
  'a second run under one key': ['at-most-once', (events) => {
    const [sent, sentAgain] = ['r5', 'r5-again'].map((request) => first(events, 'request-sent', (event) => event.request === request))
    const run = first(events, 'run-started', (event) => event.prompt === 'prompt 5')
    const again = { ...run, at: sentAgain!.at + 1, run: 'again' }
    return { events: [...events, again], shownBy: [sent!, run, sentAgain!, again] }
  }],
  'new work to an endpoint that left': ['leaving-endpoint', (events) => {
    const run = events.filter((event) => event.event === 'run-started' && event.endpoint === 'engine-1').sort((left, right) => right.at - left.at)[0]!
    const leaving: HistoryEvent = { event: 'endpoint-leaving', at: run.at - 5_001, endpoint: 'engine-1' }
    return { events: [...events, leaving], shownBy: [leaving, run] }
  }],
  'a stop that cuts a request off': ['planned-stop', (events) => {
    const [sent, run, ended] = [first(events, 'request-sent'), first(events, 'run-started'), first(events, 'request-ended')]
    const cut: HistoryEvent = { event: 'request-ended', at: ended.at, request: 'r0', outcome: 'unknown', code: 'connection-lost' }
    const stop: HistoryEvent = { event: 'instance-stop-asked', at: run.at + 1, instance: 'instance-0' }
    return { events: [...replaced(events, ended, cut), stop], shownBy: [sent, run, stop, cut] }
  }],
  'settings that go back': ['settings-in-force', (events) => {
    const newest = first(events, 'settings-in-force', (event) => event.revision === 3)
    const older = { ...newest, at: newest.at + 1, revision: 2, digest: 'text 2' }
    return { events: [...events, older], shownBy: [newest, older] }
  }],
  'settings in force too late': ['settings-in-force', (events) => {
    const accepted = first(events, 'settings-accepted', (event) => event.revision === 3)
    const inForce = first(events, 'settings-in-force', (event) => event.revision === 3)
    const late = { ...inForce, at: accepted.at + 4_001 }
    return { events: replaced(events, inForce, late), shownBy: [accepted, late] }
  }],
  'two operators told the same revision': ['settings-in-force', (events) => {
    const accepted = first(events, 'settings-accepted', (event) => event.revision === 2)
    const again = { ...accepted, at: accepted.at + 1 }
    return { events: [...events, again], shownBy: [accepted, again] }
  }],
  'one revision with two texts': ['settings-in-force', (events) => {
    const inForce = first(events, 'settings-in-force', (event) => event.revision === 2)
    const other = { ...inForce, digest: 'another text' }
    return { events: replaced(events, inForce, other), shownBy: [first(events, 'settings-accepted', (event) => event.revision === 2), other] }
  }],
  'a favoured team': ['fairness', (events) => {
    const favoured = first(events, 'run-ended', (event) => event.run === 'even-0')
    return { events: replaced(events, favoured, { ...favoured, tokens: 300 }), shownBy: events.filter((event) => event.event === 'team-backlog-started') }
  }],
  'a request that never ended': ['every-request-ended', (events) => {
    const ended = first(events, 'request-ended', (event) => event.request === 'r3')
    return { events: events.filter((event) => event !== ended), shownBy: [first(events, 'request-sent', (event) => event.request === 'r3')] }
  }],
  'a request that ended twice': ['every-request-ended', (events) => {
    const ended = first(events, 'request-ended', (event) => event.request === 'r3')
    const again = { ...ended, at: ended.at + 1 }
    return { events: [...events, again], shownBy: [first(events, 'request-sent', (event) => event.request === 'r3'), ended, again] }
  }]
}

function shownEvents (violations: readonly Violation[]): HistoryEvent[] {
  return violations.at(-1)!.events.map(withoutLine)
}

describe('history checker', () => {
  it('reports no violation in histories that keep every promise', () => {
    fc.assert(fc.property(correctHistory, (events) => {
      expect(checker.check(events)).toEqual([])
    }), { seed: SEED, numRuns: 300 })
  })

  it('accepts the lines of a history in any order of their times', () => {
    const reversed = correctHistory.map((events) => [...events].sort((left, right) => left.at - right.at))
    fc.assert(fc.property(reversed, (events) => {
      expect(checker.check(events)).toEqual([])
    }), { seed: SEED, numRuns: 100 })
  })

  it.each(Object.entries(breaks))('catches %s', (_name, [promise, breakIt]) => {
    fc.assert(fc.property(correctHistory, (events) => {
      const broken = breakIt(events)
      const violations = checker.check(broken.events)
      expect(new Set(violations.map((violation) => violation.promise))).toEqual(new Set([promise]))
      expect(shownEvents(violations)).toEqual(broken.shownBy)
    }), { seed: SEED, numRuns: 100 })
  })

  it('catches each promise that it checks', () => {
    const caught = new Set(Object.values(breaks).map(([promise]) => promise))
    expect(caught).toEqual(new Set(checker.rules.map((rule) => rule.promise)))
  })
})
