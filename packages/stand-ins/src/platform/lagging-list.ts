/** The platform's list of instances, which shows what was true a while ago. */
import type { ListedInstance } from '@limpetwinch/core'

interface Snapshot {
  readonly at: number
  readonly instances: readonly ListedInstance[]
}

/** A list whose readers see each change only after the lag. */
export class LaggingList {
  private snapshots: Snapshot[] = [{ at: -Infinity, instances: [] }]

  /** @param lag - milliseconds; may be changed at any time */
  constructor (public lag: number) {}

  /** Adds or replaces one line. */
  set (line: ListedInstance): void {
    this.add([...this.newest().filter((other) => other.id !== line.id), line])
  }

  /** @returns a line as it is now, without the lag */
  find (id: string): ListedInstance | undefined {
    return this.newest().find((line) => line.id === id)
  }

  /** Takes one line off the list. */
  remove (id: string): void {
    this.add(this.newest().filter((other) => other.id !== id))
  }

  /** @returns the list as it was before the lag */
  read (): readonly ListedInstance[] {
    const visible = performance.now() - this.lag
    return this.snapshots.findLast((snapshot) => snapshot.at <= visible)?.instances ?? []
  }

  private newest (): readonly ListedInstance[] {
    return this.snapshots.at(-1)?.instances ?? []
  }

  private add (instances: readonly ListedInstance[]): void {
    const now = performance.now()
    const seen = this.snapshots.findLastIndex((snapshot) => snapshot.at <= now - this.lag)
    this.snapshots = [...this.snapshots.slice(Math.max(seen, 0)), { at: now, instances }]
  }
}
