/** The platform's list of instances, published with a delay. */
import type { ListedInstance } from '@limpetwinch/core'

interface Snapshot {
  readonly at: number
  readonly instances: readonly ListedInstance[]
}

/** An instance list whose readers see each change only after the lag. */
export class LaggingList {
  private snapshots: Snapshot[] = [{ at: -Infinity, instances: [] }]

  /** @param lag - delay until a change is visibleUntil, in milliseconds; can be changed at any time */
  constructor (public lag: number) {}

  /** Adds or replaces an instance. */
  set (instance: ListedInstance): void {
    this.add([...this.current().filter((other) => other.id !== instance.id), instance])
  }

  /** @returns the current entry of an instance, without the lag */
  find (id: string): ListedInstance | undefined {
    return this.current().find((instance) => instance.id === id)
  }

  /** Removes an instance. */
  remove (id: string): void {
    this.add(this.current().filter((other) => other.id !== id))
  }

  /** @returns the list as it was one lag ago */
  read (): readonly ListedInstance[] {
    const visibleUntil = performance.now() - this.lag
    return this.snapshots.findLast((snapshot) => snapshot.at <= visibleUntil)?.instances ?? []
  }

  private current (): readonly ListedInstance[] {
    return this.snapshots.at(-1)?.instances ?? []
  }

  private add (instances: readonly ListedInstance[]): void {
    const now = performance.now()
    const firstKept = this.snapshots.findLastIndex((snapshot) => snapshot.at <= now - this.lag)
    this.snapshots = [...this.snapshots.slice(Math.max(firstKept, 0)), { at: now, instances }]
  }
}
