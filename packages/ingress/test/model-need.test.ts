// Engines that join empty, in three loads: a quiet night (a few adapters in use on each engine), a deadline crowd (most slots in
// use), and the loss of every engine that held the model. The load from the weight store is worth its price in the last two.
import { describe, expect, it } from 'vitest'
import { isModelNeeded } from '../src/adapters/model-need.js'

const engines = (...inUse: readonly number[]): { slots: number, adaptersInUse: number }[] => inUse.map((adaptersInUse) => ({ slots: 8, adaptersInUse }))

describe('a whole model from the weight store', () => {
  it('is brought to an empty engine for a crowd and after a loss, not in a quiet night', () => {
    expect({
      quiet: isModelNeeded(engines(1, 0, 2, 1, 0, 1, 2)),
      crowd: isModelNeeded(engines(6, 5, 7, 3, 6, 4, 8)),
      loss: isModelNeeded([])
    }).toEqual({ quiet: false, crowd: true, loss: true })
  })
})
