import { StandInService } from '@limpetwinch/stand-ins'
import type { ServiceFaults } from '@limpetwinch/stand-ins'
import { request } from 'undici'
import { describe, expect, it, onTestFinished } from 'vitest'

async function startService (faults: ServiceFaults = {}): Promise<StandInService> {
  const service = new StandInService({ name: 'echo-1', faults })
  await service.listen()
  onTestFinished(async () => { await service.close() })
  return service
}

async function ask (service: StandInService, signal?: AbortSignal): Promise<unknown> {
  const headers = { 'x-request-id': 'r1' }
  const answer = await request(`${service.url}/rank?day=1`, { method: 'POST', body: 'body', headers, ...(signal === undefined ? {} : { signal }) })
  return { status: answer.statusCode, ...await answer.body.json() as object }
}

function runsOf (service: StandInService): number {
  return service.history.all().filter((line) => line.event === 'run-started').length
}

describe('stand-in plain service', () => {
  it('echoes requests and records those it ran', async () => {
    const service = await startService()
    expect(await ask(service)).toMatchObject({ status: 200, endpoint: 'echo-1', request: 'r1', method: 'POST', path: '/rank?day=1', body: 'body' })
    expect(service.history.all()).toMatchObject([
      { event: 'run-started', endpoint: 'echo-1', request: 'r1', prompt: 'body' },
      { event: 'run-ended', endpoint: 'echo-1', request: 'r1', result: 'finished' }
    ])
  })

  // The connection is closed in both cases and the caller sees no difference; only the history of the service shows whether the request ran.
  it('closes the connection before or after running a request', async () => {
    const service = await startService({ failBefore: 1 })
    await expect(ask(service)).rejects.toThrow()
    expect(runsOf(service)).toBe(0)
    await fetch(`${service.url}/control/faults`, { method: 'POST', body: '{"failAfter": 1}' })
    await expect(ask(service)).rejects.toThrow()
    expect(runsOf(service)).toBe(1)
    expect(await ask(service)).toMatchObject({ status: 200 })
  })

  it('refuses a request without running it', async () => {
    const service = await startService({ refuseBefore: 1 })
    expect(await ask(service)).toMatchObject({ status: 503, error: { code: 'refused' } })
    expect(runsOf(service)).toBe(0)
  })

  it('delays responses, and leaves connections unresponsive', async () => {
    const service = await startService({ slowness: 1, silentConnections: 1 })
    await expect(ask(service, AbortSignal.timeout(200))).rejects.toThrow()
    expect(runsOf(service)).toBe(0)
    expect(await ask(service)).toMatchObject({ status: 200 })
  })
})
