// The balancer asks each instance whether it is ready, and sends it callers or not by the answer; operators read the metrics.
import { afterEach, describe, expect, it } from 'vitest'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { MonitoringServers } from '../src/runtime/monitoring-servers.js'
import type { MonitoringSources } from '../src/runtime/monitoring-listeners.js'

let addresses: MonitoringServers | undefined

afterEach(() => addresses?.close())

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** @returns how the readiness address and some paths of the metrics address answer */
async function answersOf (answers: MonitoringSources): Promise<Record<string, { status: number, text: string }>> {
  const [readiness, metrics] = [await freePort(), await freePort()]
  addresses = new MonitoringServers(answers)
  await addresses.listen(`127.0.0.1:${readiness}`, `127.0.0.1:${metrics}`)
  const seen = async (port: number, path: string, method = 'GET'): Promise<{ status: number, text: string }> => {
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, { method })
    return { status: answer.status, text: await answer.text() }
  }
  return {
    ready: await seen(readiness, '/any/path'),
    metrics: await seen(metrics, '/metrics?format=text'),
    elsewhere: await seen(metrics, '/'),
    posted: await seen(metrics, '/metrics', 'POST')
  }
}

describe('the side addresses', () => {
  it('say that the instance is ready, and serve the metrics', async () => {
    expect(await answersOf({ isReady: () => true, metrics: async () => 'a_metric 1\n' })).toMatchSnapshot()
  })

  it('say that the instance is not ready, and that the metrics cannot be read', async () => {
    expect(await answersOf({ isReady: () => false, metrics: async () => await Promise.reject(new Error('no registry')) })).toMatchSnapshot()
  })
})
