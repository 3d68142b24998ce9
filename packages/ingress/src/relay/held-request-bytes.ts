/** Bounds the bytes of request bodies that one instance holds: each is kept until its request ends, as it may have to be sent again. */

const BYTES_PER_MEGABYTE = 1_048_576
/** Memory of a process without request bodies. */
const OWN_MEGABYTES = 110
/** Part of the memory beside it that bodies may take; the rest is for bodies that are done and not collected yet. */
const BODY_SHARE = 0.875
/** Least bound, so that an instance with very little memory takes requests at all. */
const MINIMUM_BYTES = 16 * BYTES_PER_MEGABYTE
/** Bodies up to this size count as small. */
const SMALL_BODY_BYTES = 65_536
/** Bytes that only small bodies may take, so that they are served while large ones fill the rest. */
const SMALL_BODIES_BYTES = 8 * BYTES_PER_MEGABYTE

/** @returns the most bytes of request bodies, with the responses that are held, for a process with this memory, in megabytes; Infinity when its memory is not known */
export function requestBytesFor (memoryMegabytes: number | undefined): number {
  if (memoryMegabytes === undefined) return Infinity
  return Math.max(MINIMUM_BYTES, (memoryMegabytes - OWN_MEGABYTES) * BODY_SHARE * BYTES_PER_MEGABYTE)
}

/** The bytes that the bodies of all requests in progress hold. */
export class HeldRequestBytes {
  private readonly maximumBytes: number
  private readonly responseBytes: () => number
  private total = 0

  /**
   * @param maximumBytes - most bytes that all bodies may hold, together with the responses
   * @param responseBytes - called for the bytes that responses hold now
   */
  constructor (maximumBytes = Infinity, responseBytes: () => number = () => 0) {
    this.maximumBytes = maximumBytes
    this.responseBytes = responseBytes
  }

  /**
   * @param bytes - further bytes of the body
   * @param held - bytes of the body that are held already
   * @returns whether further bytes of a body fit beside all others
   */
  fits (bytes: number, held: number): boolean {
    const reserved = held + bytes > SMALL_BODY_BYTES ? SMALL_BODIES_BYTES : 0
    return this.total + this.responseBytes() + bytes <= this.maximumBytes - reserved
  }

  /** Records bytes of a body that fits; to be released when its request ends. */
  hold (bytes: number): void {
    this.total += bytes
  }

  /** Records that a request has ended. @param bytes - all bytes of its body that were held */
  release (bytes: number): void {
    this.total -= bytes
  }
}
