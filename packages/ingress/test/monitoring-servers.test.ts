// Guards against wrong readiness and metrics responses: the load balancer sends callers to an instance according to its readiness,
// and operators rely on the metrics.
import { afterEach, describe, expect, it } from 'vitest'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { MonitoringServers } from '../src/runtime/monitoring-servers.js'
import type { MonitoringSources } from '../src/runtime/monitoring-listeners.js'

let servers: MonitoringServers | undefined

afterEach(() => servers?.close())

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** @returns the responses of the readiness address and of some paths of the metrics address */
async function responsesOf (sources: MonitoringSources): Promise<Record<string, { status: number, text: string }>> {
  const [readiness, metrics] = [await freePort(), await freePort()]
  servers = new MonitoringServers(sources)
  await servers.listen(`127.0.0.1:${readiness}`, `127.0.0.1:${metrics}`)
  const get = async (port: number, path: string, method = 'GET'): Promise<{ status: number, text: string }> => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method })
    return { status: response.status, text: await response.text() }
  }
  return {
    ready: await get(readiness, '/any/path'),
    metrics: await get(metrics, '/metrics?format=text'),
    elsewhere: await get(metrics, '/'),
    posted: await get(metrics, '/metrics', 'POST')
  }
}

describe('the monitoring servers', () => {
  it('report that the instance is ready, and serve the metrics', async () => {
    expect(await responsesOf({ isReady: () => true, metrics: async () => 'a_metric 1\n' })).toMatchSnapshot()
  })

  it('report that the instance is not ready, and that the metrics cannot be read', async () => {
    expect(await responsesOf({ isReady: () => false, metrics: async () => await Promise.reject(new Error('no registry')) })).toMatchSnapshot()
  })
})
