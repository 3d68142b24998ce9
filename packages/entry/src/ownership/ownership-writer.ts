/** Conditional updates of the ownership object, with answers that may be lost. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, ObjectStore, StoredObject } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { uuidv7 } from 'uuidv7'
import { Backoff } from '../concurrency/backoff.js'
import { emptyOwnership, isNewer, ownershipPath, parseOwnership } from './ownership-object.js'
import type { OwnershipObject } from './ownership-object.js'
import type { OwnershipChange } from './ownership-plan.js'

const BACKOFF = { first: 100, largest: 5_000 }
const MAXIMUM_CONFLICTS = 8

/** When a state of the store was certainly in force. */
export interface ClockReading {
  readonly monotonic: number
  readonly wall: number
}

/** What the writer needs from the ownership that it works for. */
export interface OwnershipWriterDependencies {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: () => number
  /** The newest state known here. */
  readonly latestKnown: () => OwnershipObject
  /** Takes up a state; the moment says when the store held nothing newer. */
  readonly adopt: (object: OwnershipObject, confirmedAt: ClockReading) => void
}

interface ReadState {
  readonly storeVersion: number
  readonly stored: OwnershipObject | undefined
}

/** Reads and writes one data centre's object; one call at a time. */
export class OwnershipWriter {
  /** Whether the last call to the store was answered. */
  storeReachable = true
  private readonly dependencies: OwnershipWriterDependencies
  private pending: OwnershipObject | undefined
  private lastOperation: Promise<unknown> = Promise.resolve()

  /** @param dependencies - store, clock and what is known */
  constructor (dependencies: OwnershipWriterDependencies) {
    this.dependencies = dependencies
  }

  /** @returns the sequence of a write whose fate is open, 0 when there is none */
  pendingSequence (): number {
    return this.pending?.sequence ?? 0
  }

  /** Reads the object and takes it up. */
  async read (): Promise<Result<void, LimpetwinchError>> {
    return await this.runExclusively(async () => (await this.readOnce()).map(() => undefined))
  }

  /**
   * Changes the object on top of its newest state.
   *
   * @param change - makes the change from the newest state; undefined when there is nothing left to change
   * @param signal - ends the waiting for a lost answer
   * @returns the newest state after it, or the store's error when nothing was written
   */
  async update (change: (newest: OwnershipObject) => OwnershipChange | undefined, signal: AbortSignal): Promise<Result<OwnershipObject, LimpetwinchError>> {
    return await this.runExclusively(async () => await this.updateExclusively(change, signal))
  }

  private async updateExclusively (change: (newest: OwnershipObject) => OwnershipChange | undefined, signal: AbortSignal): Promise<Result<OwnershipObject, LimpetwinchError>> {
    let unsettled = false
    for (let conflicts = 0; conflicts < MAXIMUM_CONFLICTS; conflicts += 1) {
      const read = unsettled ? await this.readUntilAnswered(signal) : await this.readOnce()
      if (read.isErr()) return err(read.error)
      const { stored, storeVersion } = read.value
      if (this.pending !== undefined && stored?.writeId === this.pending.writeId) return ok(this.clearPending(this.pending))
      const newest = this.dependencies.latestKnown()
      const restored = isNewer(newest, stored ?? emptyOwnership(newest.dataCentre))
      // A write that was lost may still arrive, as it names the version that is still there. Another write on the same
      // version settles it: the store lets only one of the two through.
      const wanted = change(newest) ?? (restored || unsettled ? newest : undefined)
      if (wanted === undefined) return ok(newest)
      const written = await this.write(newest, wanted, storeVersion)
      if (written.isOk()) return ok(this.clearPending(written.value))
      if (written.error.kind === 'store-answer-lost') unsettled = true
      else if (written.error.kind !== 'version-conflict') return this.failed(written.error, unsettled)
    }
    return err(new LimpetwinchError('store-unavailable', { reason: 'too many conflicting writes' }))
  }

  private async write (newest: OwnershipObject, change: OwnershipChange, storeVersion: number): Promise<Result<OwnershipObject, LimpetwinchError>> {
    const { store, latestKnown: known } = this.dependencies
    const { dataCentre } = newest
    const object: OwnershipObject = {
      dataCentre,
      sequence: Math.max(newest.sequence, known().sequence, this.pendingSequence()) + 1,
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

  /** A refused or conflicting write certainly had no effect; one with a lost answer stays open until it is read back. */
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
    const before = this.lastOperation
    const mine = (async () => {
      await before
      return await work()
    })()
    this.lastOperation = mine.catch(() => undefined)
    return await mine
  }
}
