// Guards against a body in chunks of a byte: kept as a list, each chunk takes a hundred times its length, and a process ends far below the bound of the body.
import { Worker } from 'node:worker_threads'
import { describe, expect, it } from 'vitest'
import { ByteCollector } from '../src/http/byte-collector.js'

const BODY_BYTES = 4_194_304
const HEAP_MEGABYTES = 64

/** Reads a body of single bytes with the built reader, in a thread with little memory. @returns the length that was read, or the code of the error */
async function readSingleBytes (): Promise<unknown> {
  const code = `
    const { parentPort } = require('node:worker_threads')
    async function * body () {
      const source = Buffer.alloc(65_536, 'x')
      for (let at = 0; at < ${BODY_BYTES}; at += 1) yield source.subarray(at % 65_536, at % 65_536 + 1)
    }
    import('@limpetwinch/core').then(async ({ readBoundedBytes }) => { parentPort.postMessage((await readBoundedBytes(body(), ${BODY_BYTES})).length) })`
  const worker = new Worker(code, { eval: true, resourceLimits: { maxOldGenerationSizeMb: HEAP_MEGABYTES } })
  return await new Promise((resolve) => {
    worker.once('message', resolve)
    worker.once('error', (error: NodeJS.ErrnoException) => resolve(error.code))
  })
}

describe('a body in chunks of a byte', () => {
  it('takes no more memory than its bytes', async () => {
    expect(await readSingleBytes()).toBe(BODY_BYTES)
  })

  it('is collected whole and in order, as are chunks of any size', () => {
    const collector = new ByteCollector()
    const parts = ['a', '', 'bc', 'd'.repeat(200_000), 'e']
    for (const part of parts) collector.append(Buffer.from(part))
    expect([collector.toBuffer().toString(), collector.length]).toEqual([parts.join(''), 200_004])
  })
})
