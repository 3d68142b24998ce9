/** Collects the bytes of a body whose chunks may be of any size. */

/** Sizes of the smallest and of the largest block, in bytes. */
const MINIMUM_BLOCK_BYTES = 1_024
const MAXIMUM_BLOCK_BYTES = 65_536

/**
 * Copies chunks into blocks. A list of chunks would hold more than their bytes: each chunk is an object of some hundred bytes, and keeps all bytes
 * alive that arrived with it. One buffer that grows would leave its predecessors to garbage collection.
 */
export class ByteCollector {
  private readonly full: Buffer[] = []
  private block: Buffer = Buffer.alloc(0)
  private usedOfBlock = 0
  private collected = 0

  /** Number of bytes collected. */
  get length (): number {
    return this.collected
  }

  /** @returns a copy of all bytes collected so far */
  toBuffer (): Buffer {
    return Buffer.concat([...this.full, this.block.subarray(0, this.usedOfBlock)], this.collected)
  }

  /** Appends a chunk. */
  append (chunk: Uint8Array): void {
    for (let taken = 0; taken < chunk.length;) {
      if (this.usedOfBlock === this.block.length) this.startBlock()
      const part = chunk.subarray(taken, taken + this.block.length - this.usedOfBlock)
      this.block.set(part, this.usedOfBlock)
      this.usedOfBlock += part.length
      this.collected += part.length
      taken += part.length
    }
  }

  private startBlock (): void {
    if (this.block.length > 0) this.full.push(this.block)
    this.block = Buffer.allocUnsafeSlow(Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, this.collected)))
    this.usedOfBlock = 0
  }
}
