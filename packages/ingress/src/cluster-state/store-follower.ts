/** Follows all objects of one kind: a listing, then a watch, and a listing again whenever the watch cannot go on. */
import type { Clock, Logger, ObjectStore, StoredObject } from '@limpetwinch/core'
import type { StoreHealth } from './store-health.js'

/** After a failed call: the store is left in peace for a moment, and a returning one is met within it. */
const FIRST_PAUSE_MILLISECONDS = 100
const LONGEST_PAUSE_MILLISECONDS = 500

/** What a follower is made of. */
export interface StoreFollowerOptions<Decoded> {
  readonly store: ObjectStore
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  /** The kind of object, such as `servers`. */
  readonly kind: string
  /** @returns the object's meaning, or undefined when it has none */
  readonly decode: (object: StoredObject) => Decoded | undefined
  /** Called with all decoded objects by path after each change, and with the store's revision. */
  readonly apply: (objects: ReadonlyMap<string, Decoded>, revision: number) => void
  /** How long a watch waits. It bounds how late a silent connection is noticed; each watch is a call. */
  readonly watchMilliseconds: number
  /** Least time between two steps: changes that come together cost one call instead of one each. */
  readonly paceMilliseconds: () => number
}

/** One follower; `run` is its task. */
export class StoreFollower<Decoded> {
  private readonly options: StoreFollowerOptions<Decoded>
  private readonly objects = new Map<string, Decoded>()
  private refreshing = new AbortController()

  constructor (options: StoreFollowerOptions<Decoded>) {
    this.options = options
  }

  /** Ends the present wait and lists again, after a pause in which anything may have been missed. */
  refresh (): void {
    this.refreshing.abort()
  }

  /** Follows until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    let pause = FIRST_PAUSE_MILLISECONDS
    while (!signal.aborted) {
      this.refreshing = new AbortController()
      const followed = await this.listAndWatch(AbortSignal.any([signal, this.refreshing.signal]))
      if (followed) {
        pause = FIRST_PAUSE_MILLISECONDS
        continue
      }
      await this.options.clock.sleep(pause, signal)
      pause = Math.min(LONGEST_PAUSE_MILLISECONDS, 2 * pause)
    }
  }

  /** @returns whether anything was read */
  private async listAndWatch (signal: AbortSignal): Promise<boolean> {
    const { store, health, clock, kind, watchMilliseconds, paceMilliseconds } = this.options
    const listing = await store.list(`${kind}/`)
    if (listing.isErr()) {
      health.failed(listing.error.message, clock.now())
      return false
    }
    health.answered(clock.now())
    let { cursor } = listing.value
    this.objects.clear()
    for (const object of listing.value.objects) this.take(object)
    this.options.apply(this.objects, cursor)
    while (!signal.aborted) {
      const step = await store.watch(`${kind}/`, cursor, watchMilliseconds, signal)
      if (signal.aborted) return true
      if (step.isErr()) {
        // Lost history is an answer: the store is there, and a listing makes the gap good.
        if (step.error.kind === 'history-lost') return true
        health.failed(step.error.message, clock.now())
        return false
      }
      health.answered(clock.now())
      cursor = step.value.cursor
      if (step.value.changes.length === 0) continue
      for (const object of step.value.changes) this.take(object)
      this.options.apply(this.objects, cursor)
      await clock.sleep(paceMilliseconds(), signal)
    }
    return true
  }

  private take (object: StoredObject): void {
    if (object.removed === true) {
      this.objects.delete(object.path)
      return
    }
    const decoded = this.options.decode(object)
    if (decoded !== undefined) {
      this.objects.set(object.path, decoded)
      return
    }
    this.options.logger.warn('An object of the store cannot be used.', { path: object.path, revision: object.version })
    this.objects.delete(object.path)
  }
}
