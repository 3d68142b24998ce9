// Guards against a request body in chunks of one byte that ends the process: an object for each chunk costs a hundred times as much as its byte.
import { Worker } from 'node:worker_threads'
import { describe, expect, it } from 'vitest'

const BODY_BYTES = 1_000_000
/** Heap in which the objects of that many chunks do not fit. */
const HEAP_MEGABYTES = 48

/** Reads a body of one million chunks of one byte with the built program. */
const READ_BODY = `
  import { PassThrough } from 'node:stream'
  import { parentPort, workerData } from 'node:worker_threads'
  const { readBody } = await import(workerData.module)
  const message = Object.assign(new PassThrough({ highWaterMark: 1_024 }), { headers: {} })
  const reading = readBody(message, { bytes: ${BODY_BYTES}, seconds: 60 })
  for (let sent = 0; sent < ${BODY_BYTES}; sent += 1) {
    // Like the HTTP server, which copies each chunk.
    const chunk = Buffer.from(new Uint8Array([97 + sent % 26]).buffer)
    if (!message.write(chunk)) await new Promise((resolve) => { message.once('drain', resolve) })
  }
  message.end()
  const body = await reading
  parentPort.postMessage({ bytes: body.value.length, first: body.value.subarray(0, 3).toString(), last: String.fromCharCode(body.value.at(-1)) })
`

describe('a request body in chunks of one byte', () => {
  it('is read whole within a small heap', async () => {
    const module = new URL('../dist/callers/body-reader.js', import.meta.url).href
    const worker = new Worker(new URL(`data:text/javascript,${encodeURIComponent(READ_BODY)}`), { workerData: { module }, resourceLimits: { maxOldGenerationSizeMb: HEAP_MEGABYTES } })
    const outcome = await new Promise((resolve) => {
      worker.once('message', resolve)
      worker.once('error', ({ message }) => resolve(message))
    })
    await worker.terminate()
    expect(outcome).toEqual({ bytes: BODY_BYTES, first: 'abc', last: String.fromCharCode(97 + (BODY_BYTES - 1) % 26) })
  })
})
