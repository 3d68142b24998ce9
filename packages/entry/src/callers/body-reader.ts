/** Reads request bodies within limits on size and time. */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'

/** Limits on a request body: its size in bytes, and the time in seconds within which the whole body must arrive. */
export interface BodyLimits {
  readonly bytes: number
  readonly seconds: number
}

/** Size of the first buffer of a body. */
const FIRST_BUFFER_BYTES = 4_096

/** Joins the chunks of a body as they arrive: a caller may send each byte as a chunk, whose object costs a hundred times as much. */
class BodyBuffer {
  private buffer = Buffer.alloc(0)
  length = 0

  append (chunk: Buffer): void {
    const bytes = this.length + chunk.length
    if (bytes > this.buffer.length) {
      const larger = Buffer.allocUnsafeSlow(Math.max(FIRST_BUFFER_BYTES, bytes, 2 * this.buffer.length))
      this.buffer.copy(larger, 0, 0, this.length)
      this.buffer = larger
    }
    chunk.copy(this.buffer, this.length)
    this.length = bytes
  }

  whole (): Buffer {
    return this.buffer.subarray(0, this.length)
  }
}

/**
 * Reads a complete request body. The time limit covers the whole body and does not restart with each chunk. Otherwise a
 * caller that sends a byte now and then, or stops midway, could hold memory and a connection indefinitely.
 *
 * @param message - the request
 * @param limits - the maximum size and time
 * @returns the body, or the error `body-too-large`, `body-timeout` or `request-ended-early`
 */
export async function readBody (message: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, LimpetwinchError>> {
  if (Number(message.headers['content-length'] ?? 0) > limits.bytes) return err(bodyTooLarge(limits))
  return await new Promise((resolve) => {
    const received = new BodyBuffer()
    const finish = (result: Result<Buffer, LimpetwinchError>): void => {
      clearTimeout(timer)
      message.removeAllListeners('data')
      message.pause()
      resolve(result)
    }
    const timer = setTimeout(() => finish(err(new LimpetwinchError('body-timeout', { seconds: limits.seconds }))), limits.seconds * 1000)
    message.on('data', (chunk: Buffer) => {
      if (received.length + chunk.length > limits.bytes) return finish(err(bodyTooLarge(limits)))
      received.append(chunk)
    })
    message.once('end', () => finish(ok(received.whole())))
    message.once('close', () => finish(err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run' }))))
    message.once('error', () => finish(err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run' }))))
  })
}

/**
 * @param body - bytes that are expected to be JSON in UTF-8
 * @returns the parsed value, or the error `malformed-json`
 */
export function parseJson (body: Buffer): Result<unknown, LimpetwinchError> {
  try {
    return ok(JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)))
  } catch (cause) {
    const reason = cause instanceof SyntaxError ? cause.message : 'it is not UTF-8'
    return err(new LimpetwinchError('malformed-json', { reason }, { cause }))
  }
}

function bodyTooLarge (limits: BodyLimits): LimpetwinchError {
  return new LimpetwinchError('body-too-large', { limit: limits.bytes })
}
