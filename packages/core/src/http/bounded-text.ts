/** Bodies of answers read with a bound. */

/** An answer is longer than anything its sender has reason to send. */
export class OversizedResponseError extends Error {
  /** @param mostBytes - the bound that it broke */
  constructor (mostBytes: number) {
    super(`an answer of more than ${mostBytes} bytes`)
  }
}

/**
 * Reads a body whole. One without end would take all memory of the instance and end every request on it; leaving the
 * loop closes the connection, so that the sender stops as well.
 *
 * @param body - the body as it comes
 * @param mostBytes - how much is taken at most
 * @returns its text
 * @throws OversizeAnswer beyond the bound, TypeError when it is not UTF-8
 */
export async function readBoundedText (body: AsyncIterable<Uint8Array>, mostBytes: number): Promise<string> {
  return new TextDecoder('utf-8', { fatal: true }).decode(await readBoundedBytes(body, mostBytes))
}

/**
 * As {@link readBoundedText}, for bodies that may hold anything.
 *
 * @throws OversizeAnswer beyond the bound
 */
export async function readBoundedBytes (body: AsyncIterable<Uint8Array>, mostBytes: number): Promise<Buffer> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > mostBytes) throw new OversizedResponseError(mostBytes)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
