/** First come, first served among the requests that could run: what one would take without fairness. */
import { FairQueue } from '@limpetwinch/decisions'
import type { QueuedRequest } from '@limpetwinch/decisions'

/** Knows no teams and no priorities. */
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
