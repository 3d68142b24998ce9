// A quarter of the engines are slow and do not say so. Each instance of a large fleet sees so few streams of each engine that it cannot
// tell, and sends long prompts to slow engines, where they pause all streams for longer than callers accept.
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { EndpointId } from '@limpetwinch/core'
import { FiguresFleet } from './support/figures-fleet.js'
import type { FiguresInstance } from './support/figures-fleet.js'

const ENGINES = Array.from({ length: 12 }, (_, index) => `e-${index}` as EndpointId)
const [SLOW, CHANGING, FAST] = ['e-0', 'e-4', 'e-1'] as [EndpointId, EndpointId, EndpointId]
const FAST_SPACING = 28
const SLOW_SPACING = 50
const SHARED_MILLISECONDS = 1_500

let fleet: FiguresFleet
let spacings: Map<EndpointId, number>
let turn = 0

beforeEach(async () => {
  fleet = new FiguresFleet()
  spacings = new Map(ENGINES.map((engine, index) => [engine, index % 4 === 0 ? SLOW_SPACING : FAST_SPACING]))
  await fleet.start(3, 9, ENGINES)
})

afterEach(() => {
  for (const { stop } of fleet.instances) stop()
  fleet.network.end()
})

/** Each engine finishes some streams, each at the next instance, so that no instance sees three streams of one engine. */
async function serve (streams: number, instances: readonly FiguresInstance[] = fleet.instances, engines = ENGINES): Promise<void> {
  for (let stream = 0; stream < streams; stream += 1) {
    for (const engine of engines) {
      turn += 1
      instances[turn % instances.length]?.speeds.recordEventSpacing(engine, spacings.get(engine) ?? 0)
    }
    await fleet.clock.advance(250)
  }
  await fleet.clock.advance(SHARED_MILLISECONDS)
}

describe('the speeds of engines', () => {
  it('are known to all instances when a quarter of the engines are slow and no instance has measured three streams of one', async () => {
    await serve(4)
    expect(ENGINES.map((engine) => fleet.views(engine))).toEqual(ENGINES.map((_, index) => [index % 4 === 0 ? 1.8 : 1]))
    const { measured } = fleet.at(5).figures.figureOf(SLOW)
    expect({ enough: (measured?.streams ?? 0) >= 3, logged: fleet.lines.filter(({ message }) => message.includes('counts as slower')).length }).toEqual({ enough: true, logged: 3 })
  })

  // A slow engine that was mended must not be avoided for the rest of its life, and an engine that turns slow must not keep its share.
  it('follow within some streams when a slow engine is mended and another one turns slow', async () => {
    await serve(9)
    spacings.set(SLOW, FAST_SPACING)
    spacings.set(FAST, SLOW_SPACING)
    await serve(6)
    expect([fleet.views(SLOW), fleet.views(FAST), fleet.views(CHANGING)]).toEqual([[1], [1.8], [1.8]])
    expect(fleet.lines.some(({ message }) => message.includes('no longer counts as slower'))).toBe(true)
  })

  // An engine restarts under the same id, on another host perhaps. Samples of the process before it, some still under way, count no longer.
  it('are unknown after a restart of the engine', async () => {
    await serve(4)
    fleet.at(3).speeds.recordEventSpacing(SLOW, SLOW_SPACING)
    fleet.restartEngine(SLOW)
    spacings.set(SLOW, FAST_SPACING)
    const unknown = fleet.views(SLOW)
    await serve(4)
    expect([unknown, fleet.views(SLOW)]).toEqual([[1], [1]])
  })

  // An engine that gets no requests because it was slow would never be measured again.
  it('are unknown after a while without samples', async () => {
    await serve(4)
    await fleet.clock.advance(20_000)
    await serve(4, fleet.instances, ENGINES.filter((engine) => engine !== SLOW))
    expect([fleet.views(SLOW), fleet.views(CHANGING)]).toEqual([[1], [1.8]])
  })

  // The load owner of an engine is killed, and another instance takes over. Nobody may forget the speed meanwhile, and the new load owner
  // must follow changes.
  it('stay known when the load owner is lost, and change with the next one', async () => {
    await serve(9)
    const owner = fleet.instances.find(({ member }) => member.instance === fleet.owners.get(SLOW)?.instance)
    if (owner === undefined) throw new Error('There is no load owner.')
    fleet.kill(owner)
    await serve(3)
    const without = fleet.views(SLOW)
    fleet.owners.set(SLOW, { instance: fleet.at(7).member.instance, token: 2 })
    await fleet.clock.advance(6_000)
    const kept = fleet.views(SLOW)
    spacings.set(SLOW, FAST_SPACING)
    await serve(6)
    expect([without, kept, fleet.views(SLOW)]).toEqual([[1.8], [1.8], [1]])
  })

  // The link of one instance delivers events late and in groups. It would make every engine that it uses look slow, or fast, to all others.
  it('are not distorted by one instance with a slow link', async () => {
    const [distorted, ...others] = fleet.instances
    if (distorted === undefined) throw new Error('There is no instance.')
    for (let round = 0; round < 8; round += 1) {
      for (const engine of ENGINES) distorted.speeds.recordEventSpacing(engine, round % 2 === 0 ? 200 : 3)
      await serve(1, others)
    }
    expect(new Set(others.map(({ speeds }) => Math.round(speeds.slowness(SLOW) * 10) / 10))).toEqual(new Set([1.8]))
    expect(new Set(others.map(({ speeds }) => Math.round(speeds.slowness(FAST) * 10) / 10))).toEqual(new Set([1]))
  })

  // A process starts while others live. It would send its first long prompts to slow engines.
  it('are known to a fresh process before it has served a request', async () => {
    await serve(4)
    const leaf = fleet.instances.find(({ overlay, member }) => !overlay.isHub && ![...fleet.owners.values()].some(({ instance }) => instance === member.instance))
    if (leaf === undefined) throw new Error('There is no leaf.')
    fleet.kill(leaf)
    await fleet.clock.advance(1_000)
    const fresh = fleet.restart(leaf)
    await fleet.clock.advance(2_000)
    expect(ENGINES.map((engine) => Math.round(fresh.speeds.slowness(engine) * 10) / 10)).toEqual(ENGINES.map((_, index) => index % 4 === 0 ? 1.8 : 1))
  })
  // In a small fleet nobody forwards notices. A load owner that was killed starts anew, and nobody but the others knows what it published.
  it('are known to the fresh process of a load owner in a small fleet', async () => {
    for (const { stop } of fleet.instances) stop()
    fleet = new FiguresFleet()
    await fleet.start(2, 3, ENGINES)
    await serve(4)
    const owner = fleet.at(0)
    fleet.kill(owner)
    await fleet.clock.advance(1_000)
    const fresh = fleet.restart(owner)
    await fleet.clock.advance(2_000)
    expect(ENGINES.map((engine) => Math.round(fresh.speeds.slowness(engine) * 10) / 10)).toEqual(ENGINES.map((_, index) => index % 4 === 0 ? 1.8 : 1))
  })
  // All instances are killed at once, so that nobody knows a speed. The first streams must be enough for all, whichever instance they run at.
  it('are learnt anew from few streams after all instances were killed', async () => {
    await serve(4)
    for (const killed of [...fleet.instances]) {
      fleet.kill(killed)
      const fresh = fleet.restart(killed)
      for (const [engine, { instance, token }] of fleet.owners) if (instance === killed.member.instance) fleet.owners.set(engine, { instance: fresh.member.instance, token })
    }
    await fleet.clock.advance(2_000)
    const before = fleet.views(SLOW)
    await serve(4)
    expect([before, fleet.views(SLOW), fleet.views(FAST)]).toEqual([[1], [1.8], [1]])
  })
})
