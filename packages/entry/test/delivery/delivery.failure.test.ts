import { err, ok } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { LimpetwinchError, SystemClock } from '@limpetwinch/core'
import type { EndpointId } from '@limpetwinch/core'
import type { DeliveryEvent, DeliveryOptions, DeliveryRequest } from '@limpetwinch/entry'
import { Delivery } from '@limpetwinch/entry'

const ROUTE = { engine: { endpoint: 'engine-1' as EndpointId }, owner: 'one' }

/** The dependencies that a request uses before it is admitted. */
function optionsBeforeAdmission (requestAdmission: () => Promise<unknown>): DeliveryOptions {
  const timeline = { add: () => undefined }
  return {
    router: { route: () => ok(ROUTE), isLeaving: () => false },
    admissions: { requestAdmission },
    directory: { sent: () => undefined, setOwner: () => undefined },
    explain: { begin: () => timeline },
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
  // Guards against a busy loop that starves all timers and sockets of the process, including the deadline of the request.
  // The owner of the only engine has just left, so each admission request fails at once without waiting for anything.
  it('pauses between admission requests, and ends at its deadline', async () => {
    let admissionRequests = 0
    const options = optionsBeforeAdmission(async () => {
      admissionRequests += 1
      return err(new LimpetwinchError('peer-unreachable', { instance: 'one', reason: 'no connection' }))
    })
    expect(await lastEvent(options, 300)).toMatchObject({ kind: 'error', error: { kind: 'deadline-passed', outcome: 'not_run' } })
    expect(admissionRequests).toBeLessThan(50)
  })
})
