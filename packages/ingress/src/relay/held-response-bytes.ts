/** Bounds the bytes of responses that one instance holds over all its connections: those that are unfinished, and those that their callers have not taken yet. */

const BYTES_PER_MEGABYTE = 1_048_576

/**
 * Bytes held over all connections where the memory is not small. Together with a slow caller's share of each stream this stays far below the memory of a small instance,
 * and above the few large responses that may be under way at one time.
 */
const MAXIMUM_TOTAL_BYTES = 33_554_432

/** Memory of a process without requests and responses. */
const OWN_MEGABYTES = 110
/** Part of the memory beside it that responses may take. */
const RESPONSE_SHARE = 0.21875
/** Least bound, in bytes: two responses of the largest size of a plain service. */
const MINIMUM_TOTAL_BYTES = 16_777_216

/** @returns the most bytes of responses for a process with this memory, in megabytes */
export function responseBytesFor (memoryMegabytes: number | undefined): number {
  if (memoryMegabytes === undefined) return MAXIMUM_TOTAL_BYTES
  return Math.min(MAXIMUM_TOTAL_BYTES, Math.max(MINIMUM_TOTAL_BYTES, (memoryMegabytes - OWN_MEGABYTES) * RESPONSE_SHARE * BYTES_PER_MEGABYTE))
}

/** Something that holds bytes of one response, and can drop them. */
export interface BytesHolder {
  /** Ends the response, whose bytes are dropped. */
  readonly drop: (reason: string) => void
}

/** The bytes that all responses hold, from their arrival until they have left this process. */
export class HeldResponseBytes {
  private readonly maximumBytes: number
  private readonly onDrop: (bytes: number) => void
  private readonly holders = new Map<BytesHolder, number>()
  private total = 0

  /**
   * @param maximumBytes - most bytes that all responses may hold together
   * @param onDrop - called with the bytes of each response that is ended because all of them hold too many
   */
  constructor (maximumBytes = MAXIMUM_TOTAL_BYTES, onDrop: (bytes: number) => void = () => {}) {
    this.maximumBytes = maximumBytes
    this.onDrop = onDrop
  }

  /** Bytes that all responses hold now. */
  get bytes (): number {
    return this.total
  }

  /** Records how many bytes of its response a holder holds now; beyond the bound, the response that holds the most is ended. */
  set (holder: BytesHolder, bytes: number): void {
    this.total += bytes - (this.holders.get(holder) ?? 0)
    if (bytes === 0) this.holders.delete(holder)
    else this.holders.set(holder, bytes)
    while (this.total > this.maximumBytes) this.dropLargest()
  }

  private dropLargest (): void {
    const [largest] = [...this.holders].sort(([, one], [, other]) => other - one)
    if (largest === undefined) return
    this.set(largest[0], 0)
    this.onDrop(largest[1])
    largest[0].drop('the responses of all requests hold too many bytes')
  }
}
