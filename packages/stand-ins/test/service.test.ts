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
  it('echoes and records what it ran', async () => {
    const service = await startService()
    expect(await ask(service)).toMatchObject({ status: 200, endpoint: 'echo-1', request: 'r1', method: 'POST', path: '/rank?day=1', body: 'body' })
    expect(service.history.all()).toMatchObject([
      { event: 'run-started', endpoint: 'echo-1', request: 'r1', prompt: 'body' },
      { event: 'run-ended', endpoint: 'echo-1', request: 'r1', result: 'finished' }
    ])
  })

  // The connection is cut in both cases and the caller sees the same; only the service knows whether it ran.
  it('fails before and after running', async () => {
    const service = await startService({ failBefore: 1 })
    await expect(ask(service)).rejects.toThrow()
    expect(runsOf(service)).toBe(0)
    await fetch(`${service.url}/control/faults`, { method: 'POST', body: '{"failAfter": 1}' })
    await expect(ask(service)).rejects.toThrow()
    expect(runsOf(service)).toBe(1)
    expect(await ask(service)).toMatchObject({ status: 200 })
  })

  it('refuses without running', async () => {
    const service = await startService({ refuseBefore: 1 })
    expect(await ask(service)).toMatchObject({ status: 503, error: { code: 'refused' } })
    expect(runsOf(service)).toBe(0)
  })

  it('is slow, and silent', async () => {
    const service = await startService({ slowness: 1, silentConnections: 1 })
    await expect(ask(service, AbortSignal.timeout(200))).rejects.toThrow()
    expect(runsOf(service)).toBe(0)
    expect(await ask(service)).toMatchObject({ status: 200 })
  })
})
