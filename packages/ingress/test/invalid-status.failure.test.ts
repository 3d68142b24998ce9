// Guards against responses whose status is none, such as 000 or 999: passed on, they would be taken for the answer of a sound endpoint.
import { afterEach, describe, expect, it } from 'vitest'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { framed, RawEndpoint } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

const STATUSES = ['000', '099', '600', '999']
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

/** @returns a response with a status of any three digits */
function withStatus (status: string): RawAnswer {
  return (socket, request) => framed(200, 'in trouble')({ write: (text: string) => socket.write(text.replace('HTTP/1.1 200', `HTTP/1.1 ${status}`)) } as typeof socket, request)
}

async function ingress (answers: readonly RawAnswer[], kind: 'safe' | 'unsafe' | 'stream'): Promise<{ readonly under: IngressUnderTest, readonly endpoints: readonly RawEndpoint[] }> {
  const endpoints = await Promise.all(answers.map(async (answer) => await RawEndpoint.start(answer)))
  const adapters = kind === 'stream' ? { adapters: [{ key: key('poem'), version: 1 }] } : {}
  const under = await IngressUnderTest.start({
    routes: [route({ kind, mostAttempts: kind === 'safe' ? 2 : 1, targets: [{ service: kind === 'stream' ? 'engines' : 'guide', weight: 1 }] })],
    endpoints: endpoints.map((raw, index) => ({ id: `e${index}`, raw, ...adapters }))
  })
  ending.push(under, ...endpoints)
  return { under, endpoints }
}

describe('a response whose status is none', () => {
  it.each(STATUSES)('%s is not passed on, and the outcome is unknown where the request may not be sent again', async (status) => {
    const { under } = await ingress([withStatus(status)], 'unsafe')
    const { status: passedOn, body } = await under.ask('/a')
    expect({ passedOn, outcome: JSON.parse(body).error.outcome }).toEqual({ passedOn: 502, outcome: 'unknown' })
  })

  it.each(STATUSES)('%s is not passed on as the answer to a stream', async (status) => {
    const { under } = await ingress([withStatus(status)], 'stream')
    expect((await under.ask('/a', { 'x-adapter': 'poem' })).status).toBe(502)
  })

  it.each(STATUSES)('%s is followed by another endpoint where the request may be sent again', async (status) => {
    const { under, endpoints } = await ingress([withStatus(status), framed(200, 'sound')], 'safe')
    const answers = [await under.ask('/a'), await under.ask('/b'), await under.ask('/c')]
    expect({ answers: answers.map(({ status: each, body }) => `${each} ${body}`), isTried: endpoints[0]?.requests.length !== 0 }).toEqual({ answers: ['200 sound', '200 sound', '200 sound'], isTried: true })
  })
})
