// Empty engines join in three situations: low traffic (a few adapters in use on each engine), a burst of requests (most slots in use),
// and the loss of every engine that held the model. A load from the weight store is worth its cost only in the last two.
import { describe, expect, it } from 'vitest'
import { isModelNeeded } from '../src/adapters/model-need.js'

const engines = (...inUse: readonly number[]): { slots: number, adaptersInUse: number }[] => inUse.map((adaptersInUse) => ({ slots: 8, adaptersInUse }))

describe('a whole model from the weight store', () => {
  it('is loaded on an empty engine for a burst of requests and after a loss, not during low traffic', () => {
    expect({
      lowTraffic: isModelNeeded(engines(1, 0, 2, 1, 0, 1, 2)),
      burst: isModelNeeded(engines(6, 5, 7, 3, 6, 4, 8)),
      loss: isModelNeeded([])
    }).toEqual({ lowTraffic: false, burst: true, loss: true })
  })
})
