/** Bounds the bytes of request bodies that one instance holds: each is kept until its request ends, as it may have to be sent again. */
import { BodyPages } from './body-pages.js'

const BYTES_PER_MEGABYTE = 1_048_576
/** Memory of a process without request bodies. */
const OWN_MEGABYTES = 110
/** Memory of what was read and is not collected yet, while callers send as fast as they can. */
const TRANSIENT_MEGABYTES = 45
/** Part of the other memory that bodies may take; the rest is for what the operating system has received and this process has not read. */
const BODY_SHARE = 0.75
/** Least bound, so that an instance with very little memory takes requests at all. */
const MINIMUM_BYTES = 16 * BYTES_PER_MEGABYTE
/** Bodies up to this size count as small. */
const SMALL_BODY_BYTES = 65_536
/** Bytes that only small bodies may take, so that they are served while large ones fill the rest. */
const SMALL_BODIES_BYTES = 8 * BYTES_PER_MEGABYTE

/** @returns the most bytes of request bodies, with the responses that are held, for a process with this memory, in megabytes; Infinity when its memory is not known */
export function requestBytesFor (memoryMegabytes: number | undefined): number {
  if (memoryMegabytes === undefined) return Infinity
  return Math.max(MINIMUM_BYTES, (memoryMegabytes - OWN_MEGABYTES - TRANSIENT_MEGABYTES) * BODY_SHARE * BYTES_PER_MEGABYTE)
}

/** Time without a byte after which an unfinished body is dropped where its bytes are needed for others. */
const STALLED_MILLISECONDS = 2_000

/** A request body that is held, or on its way. */
export interface HeldBody {
  /** Bytes that have arrived. */
  readonly heldBytes: number
  /** Whether further bytes are expected. */
  readonly isArriving: boolean
  /** Monotonic time at which its last bytes arrived. */
  readonly arrivedAt: number
  /** Refuses the request, whose bytes are released. */
  readonly drop: () => void
}

/** The bytes that the bodies of all requests in progress hold. */
export class HeldRequestBytes {
  readonly pages = new BodyPages()
  private readonly maximumBytes: number
  private readonly responseBytes: () => number
  private readonly bodies = new Set<HeldBody>()
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

  /**
   * Drops bodies whose callers have stopped to send, the largest first, until further bytes fit: callers that never finish would otherwise keep the
   * memory from those that do.
   *
   * @param now - monotonic time
   * @returns whether further bytes of a body fit beside all others
   */
  makeRoom (bytes: number, held: number, now: number): boolean {
    while (!this.fits(bytes, held)) {
      const stalled = [...this.bodies].filter(({ isArriving, heldBytes, arrivedAt }) => isArriving && heldBytes > 0 && now - arrivedAt >= STALLED_MILLISECONDS)
      const [largest] = stalled.sort((one, other) => other.heldBytes - one.heldBytes)
      if (largest === undefined) return false
      largest.drop()
    }
    return true
  }

  /** Called before a complete body gets a buffer of its own: the pages that nobody uses give way where both would not fit. */
  prepareWhole (bytes: number): void {
    if (this.total + this.responseBytes() + this.pages.freeBytes + bytes > this.maximumBytes) this.pages.clear()
  }

  /** Records bytes of a body that fits; to be released when its request ends. */
  hold (body: HeldBody, bytes: number): void {
    this.bodies.add(body)
    this.total += bytes
  }

  /** Records that a request has ended. @param bytes - all bytes of its body that were held */
  release (body: HeldBody, bytes: number): void {
    if (this.bodies.delete(body)) this.total -= bytes
    if (this.bodies.size === 0) this.pages.clear()
  }
}
