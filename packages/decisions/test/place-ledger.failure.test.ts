// Guards against more requests than the few places of a service: who gets a place, who waits and who is refused.
import type { EndpointId } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { PlaceLedger } from '../src/index.js'
import type { PlaceAsk, PlaceDecision } from '../src/index.js'

const ONE = 'one' as EndpointId
const TWO = 'two' as EndpointId
const NONE: ReadonlySet<EndpointId> = new Set()
const DURATION = 50

function ask (key: string, fields: Partial<PlaceAsk> = {}): PlaceAsk {
  return { key, priority: 1, excluded: NONE, dataCentre: 'here', onTimeAt: 200, endsAt: 1_000, ...fields }
}

/** @returns a ledger whose endpoints have a slot each and have answered one request */
function ledger (...endpoints: EndpointId[]): PlaceLedger {
  const created = new PlaceLedger()
  configure(created, endpoints)
  for (const endpoint of endpoints) {
    const excluded = new Set([ONE, TWO].filter((other) => other !== endpoint))
    created.ask(ask(`first ${endpoint}`, { excluded }), -DURATION)
    created.giveBack(`first ${endpoint}`, 'answered', DURATION, 0)
  }
  return created
}

function configure (target: PlaceLedger, endpoints: readonly EndpointId[], born = 1): void {
  target.configure(endpoints.map((endpoint) => ({ endpoint, slots: 1, dataCentre: 'here', born })), -DURATION)
}

function decided (decisions: readonly (readonly [key: string, decision: PlaceDecision])[]): string[] {
  return decisions.map(([key, { kind }]) => `${key} ${kind}`)
}

describe('the places of a service', () => {
  it('go to the more urgent of two waiting requests, and then to the one that is late sooner', () => {
    const places = ledger(ONE)
    expect(places.ask(ask('running'), 0)).toEqual({ kind: 'granted', endpoint: ONE })
    expect(places.ask(ask('later', { onTimeAt: 400 }), 1).kind).toBe('queued')
    expect(places.ask(ask('sooner', { onTimeAt: 390 }), 2).kind).toBe('queued')
    expect(places.ask(ask('urgent', { priority: 0, onTimeAt: 500 }), 3).kind).toBe('queued')
    const order: string[] = []
    for (let [running, now] = ['running', DURATION]; running !== ''; now += DURATION) {
      places.giveBack(running, 'answered', DURATION, now)
      running = places.settle(now)[0]?.[0] ?? ''
      order.push(running)
    }
    expect(order).toEqual(['urgent', 'sooner', 'later', ''])
  })

  it('are refused at once to a request that would be late, with the time until one is expected', () => {
    const places = ledger(ONE)
    places.ask(ask('running'), 0)
    places.ask(ask('waiting'), 0)
    expect(places.ask(ask('too late', { onTimeAt: 110 }), 0)).toEqual({ kind: 'refused', milliseconds: 50 })
  })

  it('are refused to the less urgent request when a more urgent one takes its turn', () => {
    const places = ledger(ONE)
    places.ask(ask('running'), 0)
    expect(places.ask(ask('less urgent', { onTimeAt: 160 }), 0).kind).toBe('queued')
    for (const key of ['first urgent', 'second urgent']) expect(places.ask(ask(key, { priority: 0 }), 0).kind).toBe('queued')
    expect(decided(places.settle(0))).toEqual(['less urgent refused'])
  })

  it('are not refused while one is free, even to a request that is late already', () => {
    const places = ledger(ONE, TWO)
    places.ask(ask('running', { excluded: new Set([TWO]) }), 0)
    expect(places.ask(ask('late', { onTimeAt: -10 }), 0)).toEqual({ kind: 'granted', endpoint: TWO })
  })

  it('are granted where the answer is expected first: a wait at a fast endpoint goes before a free place at a slow one', () => {
    const places = ledger(ONE, TWO)
    places.ask(ask('slow', { excluded: new Set([ONE]) }), 0)
    places.giveBack('slow', 'answered', 10 * DURATION, 10 * DURATION)
    expect(places.ask(ask('running', { onTimeAt: 800 }), 500)).toEqual({ kind: 'granted', endpoint: ONE })
    expect(places.ask(ask('waiting', { onTimeAt: 800 }), 500).kind).toBe('queued')
  })

  it('are taken back from an attempt that was given up and from one without an answer', () => {
    const places = ledger(ONE)
    for (const end of ['abandoned', 'failed', 'full'] as const) {
      expect(places.ask(ask(end), 0).kind).toBe('granted')
      places.giveBack(end, end, 0, 0)
    }
    expect(places.heldCount).toBe(0)
  })

  // A request whose caller leaves while it waits must not get a place that nobody gives back.
  it('are not granted to a request that has been withdrawn', () => {
    const places = ledger(ONE)
    places.ask(ask('running'), 0)
    places.ask(ask('withdrawn'), 0)
    places.giveBack('withdrawn', 'abandoned', 0, 10)
    places.giveBack('running', 'answered', DURATION, DURATION)
    expect(decided(places.settle(DURATION))).toEqual([])
    expect(places.heldCount).toBe(0)
  })

  // Three failures in a row over all instances: an instance alone would need seconds to see as many.
  it('are granted elsewhere after an endpoint failed several requests', () => {
    const places = ledger(ONE, TWO)
    for (const key of ['a', 'b', 'c']) {
      places.ask(ask(key, { excluded: new Set([TWO]) }), 0)
      places.giveBack(key, 'failed', 1, 0)
    }
    expect(places.ask(ask('next'), 1)).toEqual({ kind: 'granted', endpoint: TWO })
  })

  it('are forgotten with what was measured when the endpoint has started again', () => {
    const places = ledger(ONE)
    places.ask(ask('running'), 0)
    configure(places, [ONE], 2)
    expect(places.view(0)).toEqual([{ endpoint: ONE, places: 1, held: 0, expectedMilliseconds: undefined }])
  })
})
