/**
 * Pages that hold request bodies while they arrive. They are used again: memory outside of the heap is collected late, so that buffers of bodies that
 * come and go at a high rate would take several times what is held at one time.
 */

/** Size of a page. */
export const PAGE_BYTES = 65_536
/** Number of pages that are allocated together, so that they leave no gaps between other allocations. */
const PAGES_PER_SLAB = 16

/** The pages of one process. */
export class BodyPages {
  private free: Buffer[] = []

  /** Bytes of the pages that nobody uses. */
  get freeBytes (): number {
    return this.free.length * PAGE_BYTES
  }

  /** @returns a page with any content */
  take (): Buffer {
    const page = this.free.pop()
    if (page !== undefined) return page
    const slab = Buffer.allocUnsafeSlow(PAGES_PER_SLAB * PAGE_BYTES)
    for (let index = 1; index < PAGES_PER_SLAB; index += 1) this.free.push(slab.subarray(index * PAGE_BYTES, (index + 1) * PAGE_BYTES))
    return slab.subarray(0, PAGE_BYTES)
  }

  /** Takes pages back that are not used any more. */
  give (pages: readonly Buffer[]): void {
    for (const page of pages) if (page.length === PAGE_BYTES) this.free.push(page)
  }

  /** Lets all pages be collected that nobody uses. */
  clear (): void {
    this.free = []
  }
}
