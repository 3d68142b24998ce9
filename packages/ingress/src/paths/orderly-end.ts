/** Distinguishes a connection that was closed in order from one that was reset. */
import type { Socket } from 'node:net'

/**
 * Checks by a write whether a connection was closed in order. A reset that arrives after the last bytes is read as an orderly end, so
 * a response that was truncated by the reset would look complete. The operating system reports the reset only to a write. Writing an
 * empty line, which endpoints ignore, fails on a connection that was reset and succeeds on one that was closed in order.
 *
 * @param socket - a connection whose end was just read
 * @returns whether the other side closed the connection on purpose
 */
export async function provesOrderlyEnd (socket: Socket): Promise<boolean> {
  return await new Promise((resolve) => {
    socket.write('\r\n', (error) => resolve(error === null || error === undefined))
  })
}
