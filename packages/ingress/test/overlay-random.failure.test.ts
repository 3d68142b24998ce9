// Instances are killed and started again, data centres are cut off and joined, several times and at once, in any order. A
// caller notices nothing of it while each instance goes on to hear of adapters that leave and of engines that change hands. One
// that hears nothing for good, or is taken for gone by others, sends callers to adapters that are not there.
import { afterEach, describe, expect, it } from 'vitest'
import fc from 'fast-check'
import type { DataCentreId, EndpointId } from '@limpetwinch/core'
import type { NoticeFrame } from '@limpetwinch/entry'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { ManualClock } from './support/manual-clock.js'

const DATA_CENTRES = 3
const IN_EACH = 8
const SETTLED_MILLISECONDS = 1_000
/** A hub that was lost is avoided for five seconds, and a connection that fell silent is noticed within two. */
const RECOVERED_MILLISECONDS = 8_000
const HEARD_MILLISECONDS = 200
/** More runs with other seeds, by hand. */
const RUNS = Number(process.env['OVERLAY_RUNS'] ?? 12)
const RUN_MILLISECONDS = 20_000

type Step =
  | { readonly kind: 'kill', readonly place: number }
  | { readonly kind: 'kill-hub', readonly place: number }
  | { readonly kind: 'restart', readonly place: number }
  | { readonly kind: 'cut', readonly dataCentre: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'wait', readonly milliseconds: number }

const place = fc.nat({ max: DATA_CENTRES * IN_EACH - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('kill' as const), place }),
  fc.record({ kind: fc.constant('kill-hub' as const), place }),
  fc.record({ kind: fc.constant('restart' as const), place }),
  fc.record({ kind: fc.constant('cut' as const), dataCentre: fc.nat({ max: DATA_CENTRES - 1 }) }),
  fc.record({ kind: fc.constant('heal' as const) }),
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 2_500 }) }) }
)

let world: SimulatedNetwork

afterEach(() => world.end())

function word (key: string): NoticeFrame {
  return { kind: 'load-refused', endpoint: 'e' as EndpointId, key, reason: '' }
}

function live (): SimulatedInstance[] {
  return world.instances.filter(({ links }) => links.isUp)
}

function pick (among: readonly SimulatedInstance[], at: number): SimulatedInstance | undefined {
  return among[at % Math.max(1, among.length)]
}

/** Hosts whose last process has ended. */
function stopped (): SimulatedInstance[] {
  const last = [...new Map(world.instances.map((each) => [each.member.name, each])).values()]
  return last.filter(({ links }) => !links.isUp)
}

async function carryOut (next: Step): Promise<void> {
  if (next.kind === 'wait') return await world.clock.advance(next.milliseconds)
  if (next.kind === 'heal') return world.heal()
  if (next.kind === 'cut') return world.cut(`dc-${next.dataCentre}` as DataCentreId)
  if (next.kind === 'restart') {
    const killed = pick(stopped(), next.place)
    if (killed !== undefined) world.restart(killed)
    return
  }
  const among = next.kind === 'kill' ? live() : live().filter(({ overlay }) => overlay.isHub)
  const killed = pick(among, next.place)
  // The fleet stays larger than a mesh: what is checked is the way over hubs.
  if (killed !== undefined && live().length > DATA_CENTRES) world.kill(killed)
}

/** @returns what the instances see once all has been joined and started again; nothing stands out when all is well */
async function afterwards (): Promise<{ unheard: string[], twice: string[], unattached: string[], absent: string[] }> {
  world.heal()
  for (const killed of stopped()) world.restart(killed)
  await world.clock.advance(RECOVERED_MILLISECONDS)
  const all = live()
  for (const { overlay, member } of all) overlay.broadcast(word(`from ${member.name}`))
  await world.clock.advance(HEARD_MILLISECONDS)
  const heardBy = (hearer: SimulatedInstance, from: SimulatedInstance): number => hearer.heard.filter((said) => said === `${from.member.instance} from ${from.member.name}`).length
  const pairs = all.flatMap((one) => all.filter((other) => other !== one).map((other) => ({ one, other, title: `${one.member.name} of ${other.member.name}` })))
  return {
    unheard: pairs.filter(({ one, other }) => heardBy(one, other) === 0).map(({ title }) => title),
    twice: pairs.filter(({ one, other }) => heardBy(one, other) > 1).map(({ title }) => title),
    unattached: all.filter(({ overlay }) => !overlay.isAttached).map(({ member }) => member.name),
    absent: pairs.filter(({ one, other }) => !one.overlay.isReachable(other.member.instance)).map(({ title }) => title)
  }
}

describe('the overlay under failures in any order', () => {
  it('comes back whole: each instance hears each other one, once, and takes it for living', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 14 }), async (steps) => {
      world = new SimulatedNetwork(new ManualClock())
      world.start(DATA_CENTRES, IN_EACH)
      await world.clock.advance(SETTLED_MILLISECONDS)
      for (const next of steps) await carryOut(next)
      const seen = await afterwards()
      world.end()
      expect(seen).toEqual({ unheard: [], twice: [], unattached: [], absent: [] })
    }), { numRuns: RUNS })
  }, RUNS * RUN_MILLISECONDS)
})
