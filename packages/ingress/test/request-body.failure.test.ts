// Guards against request bodies that take far more memory than their bytes, or keep it although their callers have stopped to send them.
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HeldRequestBytes } from '../src/relay/held-request-bytes.js'
import type { HeldBody } from '../src/relay/held-request-bytes.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { framed, RawEndpoint } from './support/raw-endpoint.js'
import { route } from './support/samples.js'

const HEAD = 'host: listings.example\r\nx-request-id: one\r\n'
const CHUNKED = `POST /b HTTP/1.1\r\n${HEAD}transfer-encoding: chunked\r\n\r\n`
const MEGABYTE = 1_048_576

const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

/** Sends bytes to an ingress whose endpoint answers at once. @returns what the endpoint and the caller have received so far */
async function send (bytes: string): Promise<{ readonly raw: RawEndpoint, readonly received: () => string }> {
  const raw = await RawEndpoint.start(framed(200, 'ok'))
  const under = await IngressUnderTest.start({ routes: [route({ kind: 'unsafe', mostAttempts: 1 })], endpoints: [{ id: 'p', raw }] })
  const socket = connect(under.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += String(chunk) })
  socket.on('error', () => { /* The instance may reset the connection. */ })
  stops.push(() => raw.stop(), () => under.stop(), () => socket.destroy())
  socket.write(bytes)
  return { raw, received: () => received }
}

describe('a request body', () => {
  it('in chunks of one byte arrives whole and unchanged', async () => {
    const body = Array.from({ length: 900 }, (_, index) => String.fromCharCode(97 + index % 26)).join('')
    const { raw, received } = await send(CHUNKED + [...body].map((character) => `1\r\n${character}\r\n`).join('') + '0\r\n\r\n')
    await expect.poll(received).toMatch(/^HTTP\/1.1 200/)
    expect(raw.requests.join('').endsWith(body)).toBe(true)
  })

  it('that is announced as too large is refused before it arrives', async () => {
    const { received } = await send(`POST /b HTTP/1.1\r\n${HEAD}content-length: 2000000000\r\n\r\n`)
    await expect.poll(received).toMatch(/^HTTP\/1.1 413/)
  })

  it('that is not complete in the time of its route is refused as not run', async () => {
    const { raw, received } = await send(`POST /b HTTP/1.1\r\n${HEAD}content-length: 500\r\n\r\nhalf`)
    await expect.poll(received, { timeout: 4_000 }).toMatch(/^HTTP\/1.1 408 [^]*not_run/)
    expect(raw.requests).toEqual([])
  })
})

describe('bodies that fill the memory for them', () => {
  it('give way where their callers have stopped to send, the largest first; not those that arrive or that have arrived', () => {
    const bytes = new HeldRequestBytes(20 * MEGABYTE)
    const dropped: string[] = []
    const hold = (name: string, megabytes: number, arrivedAt: number, isArriving = true): void => {
      const heldBytes = megabytes * MEGABYTE
      const body: HeldBody = {
        heldBytes,
        arrivedAt,
        isArriving,
        drop: () => {
          dropped.push(name)
          bytes.release(body, heldBytes)
        }
      }
      bytes.hold(body, heldBytes)
    }
    hold('small and stalled', 1, 0)
    hold('large and stalled', 3, 0)
    hold('arriving', 4, 4_000)
    hold('arrived', 3, 0, false)
    expect({ fits: bytes.makeRoom(3 * MEGABYTE, 0, 5_000), dropped }).toEqual({ fits: true, dropped: ['large and stalled'] })
  })
})
