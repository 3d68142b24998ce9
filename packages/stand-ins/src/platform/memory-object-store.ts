/** An in-memory object store with the faults of a real one; the stand-in platform serves it over HTTP. */
import { setTimeout as sleep } from 'node:timers/promises'
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow'
import { LimpetwinchError, ObjectStore } from '@limpetwinch/core'
import type { ConditionalWrite, StoredObject, WatchStep } from '@limpetwinch/core'

/** Number of calls, by kind; each call counts once, including waiting watches and refused calls. */
export interface StoreCalls {
  reads: number
  writes: number
  watches: number
}

/** Faults of the store; can be set at any time. */
export interface StoreFaults {
  /** Whether every call fails. */
  outage: boolean
  /** Delay added to each call, in milliseconds. */
  slowness: number
  /** Number of next writes that take effect but whose responses are lost. */
  loseAnswers: number
  /** Age of the state that gets and lists return, in milliseconds; watches and conditional writes use the current state. */
  staleReads: number
}

interface Entry {
  readonly object: StoredObject
  readonly cursor: number
  readonly writtenAt: number
  /** Previous state of the object, for stale reads. */
  readonly before: Entry | undefined
}

const MAXIMUM_EARLIER_STATES = 8

/** Versioned objects; one store represents the whole platform service. */
export class MemoryObjectStore extends ObjectStore {
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0 }
  readonly faults: StoreFaults = { outage: false, slowness: 0, loseAnswers: 0, staleReads: 0 }
  private readonly entries = new Map<string, Entry>()
  private cursor = 0
  private readonly waiting = new Set<() => void>()

  override get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError> {
    this.calls.reads += 1
    return this.applyCallFaults().map(() => this.visible(this.entries.get(path))?.object)
  }

  override list (prefix: string): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError> {
    this.calls.reads += 1
    return this.applyCallFaults().map(() => this.page(prefix))
  }

  override put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError> {
    this.calls.writes += 1
    return this.applyCallFaults().andThen(() => {
      const present = this.entries.get(write.path)?.object
      const version = present?.version ?? 0
      if (version !== write.ifVersion) {
        return err(new LimpetwinchError('version-conflict', { path: write.path, version, value: present?.value }))
      }
      this.set(write.path, version + 1, write.value)
      if (this.faults.loseAnswers > 0) {
        this.faults.loseAnswers -= 1
        return err(new LimpetwinchError('store-answer-lost', { path: write.path }))
      }
      return ok(version + 1)
    })
  }

  override watch (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): ResultAsync<WatchStep, LimpetwinchError> {
    this.calls.watches += 1
    return this.applyCallFaults().andThen(() => ResultAsync.fromSafePromise<WatchStep, LimpetwinchError>(this.waitForChanges(prefix, cursor, waitMilliseconds, signal)))
  }

  /** Restores earlier objects with their earlier versions, like a store that is restored from a backup. */
  restore (objects: readonly StoredObject[]): void {
    this.entries.clear()
    for (const object of objects) this.set(object.path, object.version, object.value)
  }

  /** @returns all current objects; not counted as a call */
  snapshot (): readonly StoredObject[] {
    return structuredClone(this.changedSince('', 0))
  }

  private set (path: string, version: number, value: unknown): void {
    this.cursor += 1
    const before = limitEarlierStates(this.entries.get(path), MAXIMUM_EARLIER_STATES)
    const object = { path, version, value: structuredClone(value) }
    this.entries.set(path, { object, cursor: this.cursor, writtenAt: performance.now(), before })
    for (const wake of this.waiting) wake()
  }

  /** @returns the state of an entry that reads return */
  private visible (entry: Entry | undefined): Entry | undefined {
    if (this.faults.staleReads === 0) return entry
    const visibleUntil = performance.now() - this.faults.staleReads
    let state = entry
    while (state !== undefined && state.writtenAt > visibleUntil) state = state.before
    return state
  }

  private page (prefix: string): { objects: readonly StoredObject[], cursor: number } {
    if (this.faults.staleReads === 0) return { objects: this.changedSince(prefix, 0), cursor: this.cursor }
    const states = [...this.entries.values()]
      .map((entry) => this.visible(entry))
      .filter((state): state is Entry => state !== undefined)
    const objects = states.map((state) => state.object).filter((object) => object.path.startsWith(prefix))
    // The cursor belongs to the stale state, so that a watch from this cursor returns the changes that the list left out.
    return { objects, cursor: Math.max(0, ...states.map((state) => state.cursor)) }
  }

  private changedSince (prefix: string, cursor: number): readonly StoredObject[] {
    return [...this.entries.values()]
      .filter((entry) => entry.cursor > cursor && entry.object.path.startsWith(prefix))
      .map((entry) => entry.object)
  }

  private async waitForChanges (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): Promise<WatchStep> {
    const deadline = performance.now() + waitMilliseconds
    for (;;) {
      const changes = this.changedSince(prefix, cursor)
      const left = deadline - performance.now()
      if (changes.length > 0 || left <= 0 || signal?.aborted === true) return { cursor: this.cursor, changes }
      await this.nextChange(left, signal)
    }
  }

  private async nextChange (milliseconds: number, signal?: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.waiting.delete(finish)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.waiting.add(finish)
      signal?.addEventListener('abort', finish)
    })
  }

  /** Applies the outage and the delay to a call. */
  private applyCallFaults (): ResultAsync<void, LimpetwinchError> {
    if (this.faults.outage) return errAsync(new LimpetwinchError('store-unavailable', { reason: 'outage' }))
    if (this.faults.slowness === 0) return okAsync(undefined)
    return ResultAsync.fromSafePromise(sleep(this.faults.slowness))
  }
}

function limitEarlierStates (entry: Entry | undefined, kept: number): Entry | undefined {
  if (entry === undefined || kept === 0) return undefined
  return { ...entry, before: limitEarlierStates(entry.before, kept - 1) }
}
