/**
 * Reads the ownership object from the store and changes it by conditional updates, each of which succeeds only if the
 * stored version is still the one that was read. The store's answer to an update may be lost.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, ObjectStore, StoredObject } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { uuidv7 } from 'uuidv7'
import { Backoff } from '../concurrency/backoff.js'
import { emptyOwnership, isNewer, ownershipPath, parseOwnership } from './ownership-object.js'
import type { OwnershipObject } from './ownership-object.js'
import type { OwnershipChange } from './ownership-plan.js'

/** Delays between reads after the answer to a write was lost, in milliseconds. */
const BACKOFF = { first: 100, largest: 5_000 }
/** Maximum number of attempts of one update, which is attempted again after a version conflict or a lost answer. */
const MAXIMUM_CONFLICTS = 8

/** The monotonic clock and the wall clock, read at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonic: number
  readonly wall: number
}

/** Dependencies of the writer; the callbacks give access to the latest state that this instance knows. */
export interface OwnershipWriterDependencies {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: () => number
  /** Returns the latest state known to this instance. */
  readonly latestKnown: () => OwnershipObject
  /** Applies a state; the clock reading is a time at which the store held no newer state. */
  readonly adopt: (object: OwnershipObject, confirmedAt: ClockReading) => void
}

interface ReadState {
  readonly storeVersion: number
  readonly stored: OwnershipObject | undefined
}

/** Reads and writes the ownership object of one data centre, one operation at a time. */
export class OwnershipWriter {
  /** Whether the last call to the store was answered. */
  storeReachable = true
  private readonly dependencies: OwnershipWriterDependencies
  /** The last write, while it is not known whether that write took effect. */
  private pending: OwnershipObject | undefined
  private lastOperation: Promise<unknown> = Promise.resolve()

  /** @param dependencies - store, clock and the known state */
  constructor (dependencies: OwnershipWriterDependencies) {
    this.dependencies = dependencies
  }

  /** @returns the sequence of a write that may or may not have taken effect, 0 when there is no such write */
  pendingSequence (): number {
    return this.pending?.sequence ?? 0
  }

  /** Reads the ownership object from the store and applies the state that was read. */
  async read (): Promise<Result<void, LimpetwinchError>> {
    return await this.runExclusively(async () => (await this.readOnce()).map(() => undefined))
  }

  /**
   * Changes the object, based on its latest state.
   *
   * @param change - derives the change from the latest state; returns undefined when nothing has to be changed
   * @param signal - cancels the reads that find out whether a write with a lost answer took effect
   * @returns the latest state after the update, or the store's error when nothing is known to have been written
   */
  async update (change: (latest: OwnershipObject) => OwnershipChange | undefined, signal: AbortSignal): Promise<Result<OwnershipObject, LimpetwinchError>> {
    return await this.runExclusively(async () => await this.updateExclusively(change, signal))
  }

  private async updateExclusively (
    change: (latest: OwnershipObject) => OwnershipChange | undefined,
    signal: AbortSignal
  ): Promise<Result<OwnershipObject, LimpetwinchError>> {
    let unsettled = false
    for (let conflicts = 0; conflicts < MAXIMUM_CONFLICTS; conflicts += 1) {
      const read = unsettled ? await this.readUntilAnswered(signal) : await this.readOnce()
      if (read.isErr()) return err(read.error)
      const { stored, storeVersion } = read.value
      if (this.pending !== undefined && stored?.writeId === this.pending.writeId) return ok(this.clearPending(this.pending))
      const latest = this.dependencies.latestKnown()
      const restored = isNewer(latest, stored ?? emptyOwnership(latest.dataCentre))
      // A write whose answer was lost may still reach the store, since the version that it expects is still current.
      // Another write that expects the same version settles this: the store accepts only one of the two.
      const required = change(latest) ?? (restored || unsettled ? latest : undefined)
      if (required === undefined) return ok(latest)
      const written = await this.write(latest, required, storeVersion)
      if (written.isOk()) return ok(this.clearPending(written.value))
      if (written.error.kind === 'store-answer-lost') unsettled = true
      else if (written.error.kind !== 'version-conflict') return this.failed(written.error, unsettled)
    }
    return err(new LimpetwinchError('store-unavailable', { reason: 'too many conflicting writes' }))
  }

  private async write (latest: OwnershipObject, change: OwnershipChange, storeVersion: number): Promise<Result<OwnershipObject, LimpetwinchError>> {
    const { store, latestKnown } = this.dependencies
    const { dataCentre } = latest
    const object: OwnershipObject = {
      dataCentre,
      sequence: Math.max(latest.sequence, latestKnown().sequence, this.pendingSequence()) + 1,
      nextToken: change.nextToken,
      writeId: uuidv7(),
      records: change.records
    }
    this.pending = object
    const began = this.readClocks()
    const answer = await store.put({ path: ownershipPath(dataCentre), ifVersion: storeVersion, value: object })
    this.storeReachable = answer.isOk() || answer.error.kind === 'version-conflict'
    return answer.map(() => {
      this.dependencies.adopt(object, began)
      return object
    })
  }

  /** A refused or conflicting write certainly had no effect; one with a lost answer stays pending until a read shows its result. */
  private failed (error: LimpetwinchError, unsettled: boolean): Result<never, LimpetwinchError> {
    if (!unsettled) this.pending = undefined
    return err(error)
  }

  private clearPending (object: OwnershipObject): OwnershipObject {
    this.pending = undefined
    return object
  }

  private async readUntilAnswered (signal: AbortSignal): Promise<Result<ReadState, LimpetwinchError>> {
    const backoff = new Backoff(BACKOFF, this.dependencies.random)
    for (;;) {
      const read = await this.readOnce()
      if (read.isOk() || signal.aborted) return read
      await this.dependencies.clock.sleep(backoff.next(), signal)
    }
  }

  private async readOnce (): Promise<Result<ReadState, LimpetwinchError>> {
    const began = this.readClocks()
    const { dataCentre } = this.dependencies.latestKnown()
    const answer = await this.dependencies.store.get(ownershipPath(dataCentre))
    this.storeReachable = answer.isOk()
    return answer.map((object) => this.applyRead(object, began))
  }

  private applyRead (object: StoredObject | undefined, began: ClockReading): ReadState {
    const stored = object === undefined ? undefined : parseOwnership(object.value)
    this.dependencies.adopt(stored ?? emptyOwnership(this.dependencies.latestKnown().dataCentre), began)
    return { storeVersion: object?.version ?? 0, stored }
  }

  private readClocks (): ClockReading {
    return { monotonic: this.dependencies.clock.now(), wall: this.dependencies.clock.wallTime() }
  }

  private async runExclusively<Value> (work: () => Promise<Value>): Promise<Value> {
    const previous = this.lastOperation
    const operation = (async () => {
      await previous
      return await work()
    })()
    this.lastOperation = operation.catch(() => undefined)
    return await operation
  }
}
