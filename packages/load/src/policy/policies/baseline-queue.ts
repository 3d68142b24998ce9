/** Queue of first come, first served among the requests that can run, for comparison with the fair queue. */
import { FairQueue } from '@limpetwinch/decisions'
import type { QueuedRequest } from '@limpetwinch/decisions'

/** Queue in order of arrival that ignores teams and priorities. */
export class ArrivalOrderQueue<Item extends QueuedRequest> extends FairQueue<Item> {
  private readonly waiting = new Map<string, Item>()

  push (item: Item): void {
    this.waiting.set(item.requestId, item)
  }

  remove (requestId: string): Item | undefined {
    const item = this.waiting.get(requestId)
    this.waiting.delete(requestId)
    return item
  }

  next (eligible: (item: Item) => boolean): Item | undefined {
    for (const item of this.waiting.values()) {
      if (!eligible(item)) continue
      this.waiting.delete(item.requestId)
      return item
    }
    return undefined
  }

  charge (): void {}

  setWeight (): void {}

  shareUsed (): number {
    return 1
  }

  worst (): Item | undefined {
    return [...this.waiting.values()].at(-1)
  }

  items (): Iterable<Item> {
    return this.waiting.values()
  }

  get size (): number {
    return this.waiting.size
  }
}
