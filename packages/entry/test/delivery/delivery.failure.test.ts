import { err, ok } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { LimpetwinchError, SystemClock } from '@limpetwinch/core'
import type { EndpointId } from '@limpetwinch/core'
import type { DeliveryEvent, DeliveryOptions, DeliveryRequest } from '@limpetwinch/entry'
import { Delivery } from '@limpetwinch/entry'

const ROUTE = { engine: { endpoint: 'engine-1' as EndpointId }, owner: 'one' }

/** All that a request needs until it is admitted. */
function before (ask: () => Promise<unknown>): DeliveryOptions {
  const story = { add: () => undefined }
  return {
    router: { route: () => ok(ROUTE), isLeaving: () => false },
    admissions: { ask },
    directory: { sent: () => undefined, setOwner: () => undefined },
    explain: { begin: () => story },
    retryBudget: { deposit: () => undefined, withdraw: () => true },
    shareUsed: () => 1,
    clock: new SystemClock()
  } as unknown as DeliveryOptions
}

async function lastEvent (options: DeliveryOptions, patience: number): Promise<DeliveryEvent | undefined> {
  const request = { requestId: 'request-1', adapter: { team: 'history' }, adapterName: 'history/essays@v1', deadlineAt: options.clock.now() + patience, idempotent: true }
  let last: DeliveryEvent | undefined
  for await (const event of new Delivery(options).deliver(request as unknown as DeliveryRequest, {} as never, new AbortController().signal)) last = event
  return last
}

describe('a request whose owner does not answer', () => {
  // The caller is told `not_run` when its deadline passes, and the instance serves its other callers meanwhile.
  // The only engine's owner has just been lost: each ask fails at once, without waiting for anything. Asked again
  // without a pause it would keep the process from every timer and socket, the caller's own deadline among them.
  it('pauses between asks, and ends at its deadline', async () => {
    let asks = 0
    const options = before(async () => {
      asks += 1
      return err(new LimpetwinchError('peer-unreachable', { instance: 'one', reason: 'no connection' }))
    })
    expect(await lastEvent(options, 300)).toMatchObject({ kind: 'error', error: { kind: 'deadline-passed', outcome: 'not_run' } })
    expect(asks).toBeLessThan(50)
  })
})
