/** Reads HTTP response bodies, as text or bytes, up to a maximum size. */
import { ByteCollector } from './byte-collector.js'

/** The error for a response that exceeds its maximum size. */
export class OversizedResponseError extends Error {
  /** @param maximumBytes - the size limit that was exceeded */
  constructor (maximumBytes: number) {
    super(`an answer of more than ${maximumBytes} bytes`)
  }
}

/**
 * Reads a complete body as text. Without the limit, an endless body would use up the memory of the instance and end every
 * request on it. When the limit is exceeded, the read ends early, which closes the connection, so the sender stops as well.
 *
 * @param body - the chunks of the body
 * @param maximumBytes - the maximum size of the body in bytes
 * @returns the decoded text
 * @throws OversizedResponseError if the body is larger, TypeError if the body is not UTF-8
 */
export async function readBoundedText (body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<string> {
  return new TextDecoder('utf-8', { fatal: true }).decode(await readBoundedBytes(body, maximumBytes))
}

/**
 * Reads a complete body as bytes, with the same limit as {@link readBoundedText}.
 *
 * @throws OversizedResponseError if the body is larger
 */
export async function readBoundedBytes (body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<Buffer> {
  const collector = new ByteCollector()
  for await (const chunk of body) {
    if (collector.length + chunk.length > maximumBytes) throw new OversizedResponseError(maximumBytes)
    collector.append(chunk)
  }
  return collector.toBuffer()
}
