import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { adapterCapacity, isAdapterTooLarge } from '../src/adapters/engine-memory.js'
import { SlotReservations } from '../src/adapters/slot-reservations.js'
import type { AdapterKey, EngineShape, ModelName } from '../src/routes/configuration.js'
import { engineShape } from './support/samples.js'

const SMALL = { name: 'small' as ModelName, megabytes: 1_000, adapters: 100, adapterMegabytes: 10 }
const LARGE = { name: 'large' as ModelName, megabytes: 2_000, adapters: 100, adapterMegabytes: 70 }

function shapeOf (megabytes: number, adapterSlots = 8): EngineShape {
  return engineShape({ megabytes, adapterSlots, models: [SMALL, LARGE] })
}

describe('the number of adapters that an engine can hold', () => {
  it.each([
    ['is that of its slots where memory is plentiful', shapeOf(5_000), [SMALL.name], 8],
    ['is what its memory holds beside its model where that is less', shapeOf(1_035), [SMALL.name], 3],
    ['is what its memory holds beside all of its models', shapeOf(3_025), [SMALL.name, LARGE.name], 2],
    ['is none where nothing fits beside the model', shapeOf(1_009), [SMALL.name], 0],
    ['is that of its slots where the configuration states no memory', shapeOf(0), [SMALL.name], 8]
  ])('%s', (_name, shape, models, capacity) => {
    expect(adapterCapacity(shape, models, SMALL.name)).toBe(capacity)
  })
})

// Guards against requests that wait to their deadline for a load which no engine can ever carry out.
it.each([[1_009, true], [1_010, false], [0, false]])('an adapter beside its model on an engine of %i MB is too large: %s', (megabytes, isTooLarge) => {
  expect(isAdapterTooLarge(shapeOf(megabytes), SMALL.name)).toBe(isTooLarge)
})

describe('the reservations of an engine', () => {
  it('never take more slots or memory than there are, whatever the sizes of the adapters', () => {
    const adapter = fc.record({ model: fc.constantFrom(SMALL, LARGE), number: fc.nat(6) })
    fc.assert(fc.property(fc.integer({ min: 3_000, max: 3_400 }), fc.integer({ min: 1, max: 8 }), fc.array(adapter, { maxLength: 30 }), (megabytes, slots, asked) => {
      const reservations = new SlotReservations(shapeOf(megabytes, slots))
      reservations.models = [SMALL.name, LARGE.name]
      for (const { model, number } of asked) {
        const key = `${model.name}/a${number}` as AdapterKey
        if (!reservations.inFlight.has(key) && reservations.fits(key, reservations.room())) reservations.ordered(key, 0, 0)
      }
      const used = [...reservations.inFlight.keys()].reduce((sum, key) => sum + (key.startsWith(LARGE.name) ? LARGE : SMALL).adapterMegabytes, SMALL.megabytes + LARGE.megabytes)
      expect({ isWithinMemory: used <= megabytes, isWithinSlots: reservations.inFlight.size <= slots }).toEqual({ isWithinMemory: true, isWithinSlots: true })
    }))
  })

  it('count how many loads fit once others have been evicted', () => {
    const reservations = new SlotReservations(shapeOf(3_100, 8))
    reservations.models = [SMALL.name, LARGE.name]
    const held = ['small/a1', 'small/a2', 'small/a3', 'small/a4'] as AdapterKey[]
    for (const key of held) reservations.completed(key, 0, 0)
    const waiting = ['large/b1', 'small/b2'] as AdapterKey[]
    expect([[], held.slice(0, 1), held.slice(0, 2)].map((leaving) => reservations.countFitting(waiting, new Set(leaving)))).toEqual([0, 1, 2])
  })
})
