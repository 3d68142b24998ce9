// Guards against a loader that misjudges which of its orders an engine has carried out, assigns a slot twice and so orders a load beyond the
// slots, which crashes the engine with all that it runs.
import { describe, expect, it } from 'vitest'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import type { FencingToken } from '@limpetwinch/core'
import type { OrderAnswer } from '../src/adapters/engine-control.js'
import type { LoaderDependencies } from '../src/adapters/loader-dependencies.js'
import { OrderDispatcher } from '../src/adapters/order-dispatcher.js'
import { SlotReservations } from '../src/adapters/slot-reservations.js'
import { endpoint, engineShape, key } from './support/samples.js'
import { SimulatedEngine } from './support/simulated-engine.js'
import { SimulatedEngineControl } from './support/simulated-engine-control.js'

const SLOTS = 3
/** Longer than any test, so that loads stay in progress. */
const SLOW_LOAD_MILLISECONDS = 60_000

/** Sends loads as a loader does: one without an answer is sent again, one that was accepted takes a slot. */
class Loads {
  readonly reservations = new SlotReservations(engineShape({ adapterSlots: SLOTS }))
  private readonly dispatcher: OrderDispatcher
  private readonly signal = new AbortController().signal

  constructor (engine: SimulatedEngine) {
    const dependencies = {
      control: new SimulatedEngineControl(engine), clock: new SystemClock(), logger: silentLogger(), holder: 'me', onLost: () => {}, onUnreachable: () => {}
    } as unknown as LoaderDependencies
    this.dispatcher = new OrderDispatcher(endpoint('engine'), 7 as FencingToken, this.reservations, dependencies, () => {})
  }

  async begin (): Promise<void> {
    await this.dispatcher.reconcile(this.signal)
  }

  async order (name: string): Promise<OrderAnswer | undefined> {
    const answer = await this.dispatcher.load(key(name), 0, undefined, this.signal)
    if (answer === 'accepted' && !this.reservations.inFlight.has(key(name))) this.reservations.ordered(key(name), 0, performance.now())
    return answer
  }

  /** @returns the adapters that take a slot as far as the loader knows */
  occupied (): string[] {
    return [...this.reservations.inFlight.keys()].map((each) => each.slice(each.indexOf('/') + 1)).toSorted()
  }
}

describe('an order without an answer', () => {
  // An engine accepts the order of a load in progress once more without counting it, so that an older order can still be carried out.
  it('is remembered while the engine confirms a load in progress', async () => {
    const engine = new SimulatedEngine({ slots: SLOTS, loadMilliseconds: SLOW_LOAD_MILLISECONDS })
    const loads = new Loads(engine)
    await loads.begin()
    for (const name of ['a', 'b']) await loads.order(name)
    engine.nextFates = ['late']
    await loads.order('late')
    await loads.order('a')
    engine.nextFates = ['silent']
    await loads.order('other')
    engine.carryOutLate()
    await loads.order('other')
    expect(loads.occupied()).toEqual(['a', 'b', 'late'])
  })

  it('explains a conflict at once when the loader knows all orders that may have caused it', async () => {
    const engine = new SimulatedEngine({ slots: SLOTS, loadMilliseconds: SLOW_LOAD_MILLISECONDS })
    const loads = new Loads(engine)
    await loads.begin()
    await loads.order('a')
    const reports = engine.reportCount
    engine.nextFates = ['lost']
    await loads.order('b')
    await loads.order('b')
    expect({ occupied: loads.occupied(), reports: engine.reportCount - reports }).toEqual({ occupied: ['a', 'b'], reports: 0 })
  })
})
