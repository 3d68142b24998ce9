// Who orders an engine's loads knows what runs there from digests, told every 150 ms. A run that ended after the last one
// keeps its slot from the loads that wait; one that began after it is not seen, and its adapter is evicted under it: the
// engine then takes no order until that run ends. So ends are told apart from digests, and an instance knows its own runs.
import { describe, expect, it } from 'vitest'
import type { EndpointId } from '@limpetwinch/core'
import { LoadBoard } from '../src/routing/load-board.js'
import { key } from './support/samples.js'

const ENGINE = 'e' as EndpointId

function begin (board: LoadBoard, name: string): () => void {
  return board.begin(ENGINE, { prefillTokens: 10, memoryTokens: 20, adapter: key(name) }).ended
}

describe('work in hand', () => {
  it('tells when the last own run of an adapter has ended, and only then', () => {
    const board = new LoadBoard()
    const released: EndpointId[] = []
    board.onReleased((endpoint) => released.push(endpoint))
    const [first, second] = [begin(board, 'x'), begin(board, 'x')]
    first()
    const before = released.length
    second()
    second()
    expect({ before, after: released, own: board.ownRunning(ENGINE, key('x')) }).toEqual({ before: 0, after: [ENGINE], own: 0 })
  })

  it('tells one peer what runs without taking uses from the digest for all', () => {
    const board = new LoadBoard()
    begin(board, 'x')
    const present = board.present()[0]?.adapters
    expect([present, board.digest()[0]?.adapters]).toEqual([[['base/x', 1, 0]], [['base/x', 1, 1]]])
  })
})
