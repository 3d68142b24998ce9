import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { once } from 'node:events'
import { setImmediate as turn } from 'node:timers/promises'
import { dial } from '@limpetwinch/entry'
import { afterEach, expect, it } from 'vitest'

const TIMEOUT_MILLISECONDS = 100

let server: Server | undefined

afterEach(() => { server?.close() })

async function listen (): Promise<string> {
  server = createServer((socket) => { socket.on('error', () => {}) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = server.address()
  if (address === null || typeof address === 'string') throw new Error('The server has no port.')
  return `127.0.0.1:${address.port}`
}

/** Stops this process from handling events, as a pause of the process does. */
function pause (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}

// Guards against requests that are refused because sound endpoints count as unreachable: a process that paused handles its overdue timers before
// the connections that have opened meanwhile.
it('a connection that opened while the process was paused for longer than the timeout is used', async () => {
  const address = await listen()
  const dialled = dial(address, TIMEOUT_MILLISECONDS, new AbortController().signal)
  await turn()
  pause(2 * TIMEOUT_MILLISECONDS)
  const result = await dialled
  expect(result.isOk()).toBe(true)
  result._unsafeUnwrap().destroy()
})
