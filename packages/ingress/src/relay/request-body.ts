/** Receives the body of one request into a buffer of its own. */
import type { IncomingMessage } from 'node:http'
import { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PAGE_BYTES } from './body-pages.js'
import type { HeldBody, HeldRequestBytes } from './held-request-bytes.js'

/** Size of the first page of a body whose length is not announced, since most bodies are small. */
const FIRST_PAGE_BYTES = 4_096
const MILLISECONDS_PER_SECOND = 1_000

/** A body, or why there is none. */
export type ReceivedBody = Result<Buffer | undefined, LimpetwinchError>

/**
 * The body of one request. Its chunks are copied as they arrive: a caller may send each byte as a chunk, and an object for each costs a hundred times
 * as much as the byte.
 */
export class RequestBody implements HeldBody {
  /** Monotonic time at which the last bytes arrived. */
  arrivedAt: number
  isArriving = false
  /** Bytes of the pages that it takes. */
  heldBytes = 0
  private readonly incoming: IncomingMessage
  private readonly held: HeldRequestBytes
  private pages: Buffer[] = []
  /** Bytes that have arrived. */
  private length = 0
  /** Bytes that are free in the last page. */
  private room = 0
  private finish: (result: ReceivedBody) => void = () => {}
  private readonly onChunk: () => void

  /**
   * @param incoming - the request
   * @param held - counts the bytes of the bodies of all requests
   * @param onChunk - called for each chunk that is read
   */
  constructor (incoming: IncomingMessage, held: HeldRequestBytes, onChunk: () => void = () => {}) {
    this.incoming = incoming
    this.held = held
    this.onChunk = onChunk
    this.arrivedAt = performance.now()
  }

  /**
   * Receives the body.
   *
   * @param maximumBytes - largest accepted body
   * @param ending - aborted when the request is out of time
   * @returns the body, undefined when it is empty; or the error `body-too-large`, `bodies-fill-memory`, `body-timeout` or `request-ended-early`
   */
  async receive (maximumBytes: number, ending?: AbortSignal): Promise<ReceivedBody> {
    const { incoming } = this
    const startedAt = performance.now()
    if (incoming.destroyed && !incoming.readableEnded) return this.endedEarly()
    this.isArriving = true
    const received = await new Promise<ReceivedBody>((resolve) => {
      this.finish = resolve
      incoming.on('data', (chunk: Buffer) => this.take(chunk, maximumBytes))
      incoming.once('end', () => resolve(ok(this.complete())))
      incoming.once('error', (cause) => resolve(this.endedEarly(cause)))
      incoming.once('close', () => resolve(this.endedEarly()))
      ending?.addEventListener('abort', () => resolve(this.timedOut(startedAt)), { once: true })
      if (ending?.aborted === true) resolve(this.timedOut(startedAt))
    })
    this.isArriving = false
    incoming.removeAllListeners('data')
    if (received.isErr()) {
      incoming.pause()
      this.release()
    }
    return received
  }

  /** Reads the rest of a body that was refused and drops it. */
  discard (): void {
    this.incoming.on('data', this.onChunk)
    this.incoming.resume()
  }

  /** Refuses the request, since its caller has stopped to send it. */
  drop (): void {
    this.isArriving = false
    this.finish(this.timedOut(this.arrivedAt))
    this.release()
  }

  /** Gives the memory of the body back. */
  release (): void {
    this.givePagesBack()
    this.held.release(this, this.heldBytes)
    this.heldBytes = 0
  }

  private take (chunk: Buffer, maximumBytes: number): void {
    this.onChunk()
    if (!this.isArriving) return
    this.arrivedAt = performance.now()
    if (this.length + chunk.length > maximumBytes) return this.refuse(new LimpetwinchError('body-too-large', { limit: maximumBytes }))
    for (let at = 0; at < chunk.length;) {
      if (this.room === 0 && !this.addPage()) return this.refuse(new LimpetwinchError('bodies-fill-memory'))
      const page = this.pages[this.pages.length - 1]
      if (page === undefined) return
      const copied = chunk.copy(page, page.length - this.room, at)
      at += copied
      this.room -= copied
      this.length += copied
    }
  }

  /** @returns whether another page fits beside the bodies of all requests */
  private addPage (): boolean {
    const bytes = this.nextPageBytes()
    if (!this.held.makeRoom(bytes, this.heldBytes, this.arrivedAt)) return false
    this.held.hold(this, bytes)
    this.heldBytes += bytes
    this.pages.push(bytes === PAGE_BYTES ? this.held.pages.take() : Buffer.allocUnsafeSlow(bytes))
    this.room = bytes
    return true
  }

  private nextPageBytes (): number {
    const announced = Number(this.incoming.headers['content-length'] ?? 0)
    if (announced > this.length) return Math.min(PAGE_BYTES, announced - this.length)
    return this.length === 0 ? FIRST_PAGE_BYTES : PAGE_BYTES
  }

  /** @returns the whole body in one buffer */
  private complete (): Buffer | undefined {
    const [first] = this.pages
    if (first === undefined) return undefined
    if (this.pages.length === 1 && first.length < PAGE_BYTES) return first.subarray(0, this.length)
    this.held.prepareWhole(this.length)
    const whole = Buffer.allocUnsafeSlow(this.length)
    let at = 0
    for (const page of this.pages) at += page.copy(whole, at, 0, Math.min(page.length, this.length - at))
    this.givePagesBack()
    return whole
  }

  private givePagesBack (): void {
    this.held.pages.give(this.pages)
    this.pages = []
    this.room = 0
  }

  private refuse (error: LimpetwinchError): void {
    this.isArriving = false
    this.finish(err(error))
  }

  private timedOut (since: number): ReceivedBody {
    return err(new LimpetwinchError('body-timeout', { seconds: Math.round((performance.now() - since) / MILLISECONDS_PER_SECOND) }))
  }

  private endedEarly (cause?: unknown): ReceivedBody {
    return err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run', cause }))
  }
}
