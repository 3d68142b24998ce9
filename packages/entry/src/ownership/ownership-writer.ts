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
const MOST_CONFLICTS = 8

/** When a state of the store was certainly in force. */
export interface Moment {
  readonly monotonic: number
  readonly wall: number
}

/** What the writer needs from the ownership that it works for. */
export interface WriterSurroundings {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: () => number
  /** The newest state known here. */
  readonly known: () => OwnershipObject
  /** Takes up a state; the moment says when the store held nothing newer. */
  readonly adopt: (object: OwnershipObject, confirmedAt: Moment) => void
}

interface ReadState {
  readonly storeVersion: number
  readonly stored: OwnershipObject | undefined
}

/** Reads and writes one data centre's object; one call at a time. */
export class OwnershipWriter {
  /** Whether the last call to the store was answered. */
  storeReachable = true
  private readonly surroundings: WriterSurroundings
  private pending: OwnershipObject | undefined
  private last: Promise<unknown> = Promise.resolve()

  /** @param surroundings - store, clock and what is known */
  constructor (surroundings: WriterSurroundings) {
    this.surroundings = surroundings
  }

  /** @returns the sequence of a write whose fate is open, 0 when there is none */
  pendingSequence (): number {
    return this.pending?.sequence ?? 0
  }

  /** Reads the object and takes it up. */
  async read (): Promise<Result<void, LimpetwinchError>> {
    return await this.inTurn(async () => (await this.readOnce()).map(() => undefined))
  }

  /**
   * Changes the object on top of its newest state.
   *
   * @param change - makes the change from the newest state; undefined when there is nothing left to change
   * @param signal - ends the waiting for a lost answer
   * @returns the newest state after it, or the store's error when nothing was written
   */
  async update (change: (newest: OwnershipObject) => OwnershipChange | undefined, signal: AbortSignal): Promise<Result<OwnershipObject, LimpetwinchError>> {
    return await this.inTurn(async () => await this.updateInTurn(change, signal))
  }

  private async updateInTurn (change: (newest: OwnershipObject) => OwnershipChange | undefined, signal: AbortSignal): Promise<Result<OwnershipObject, LimpetwinchError>> {
    let unsettled = false
    for (let conflicts = 0; conflicts < MOST_CONFLICTS; conflicts += 1) {
      const read = unsettled ? await this.readUntilAnswered(signal) : await this.readOnce()
      if (read.isErr()) return err(read.error)
      const { stored, storeVersion } = read.value
      if (this.pending !== undefined && stored?.writeId === this.pending.writeId) return ok(this.settled(this.pending))
      const newest = this.surroundings.known()
      const restored = isNewer(newest, stored ?? emptyOwnership(newest.dataCentre))
      // A write that was lost may still arrive, as it names the version that is still there. Another write on the same
      // version settles it: the store lets only one of the two through.
      const wanted = change(newest) ?? (restored || unsettled ? newest : undefined)
      if (wanted === undefined) return ok(newest)
      const written = await this.write(newest, wanted, storeVersion)
      if (written.isOk()) return ok(this.settled(written.value))
      if (written.error.kind === 'store-answer-lost') unsettled = true
      else if (written.error.kind !== 'version-conflict') return this.failed(written.error, unsettled)
    }
    return err(new LimpetwinchError('store-unavailable', { reason: 'too many conflicting writes' }))
  }

  private async write (newest: OwnershipObject, change: OwnershipChange, storeVersion: number): Promise<Result<OwnershipObject, LimpetwinchError>> {
    const { store, known } = this.surroundings
    const { dataCentre } = newest
    const object: OwnershipObject = {
      dataCentre,
      sequence: Math.max(newest.sequence, known().sequence, this.pendingSequence()) + 1,
      nextToken: change.nextToken,
      writeId: uuidv7(),
      records: change.records
    }
    this.pending = object
    const began = this.moment()
    const answer = await store.put({ path: ownershipPath(dataCentre), ifVersion: storeVersion, value: object })
    this.storeReachable = answer.isOk() || answer.error.kind === 'version-conflict'
    return answer.map(() => {
      this.surroundings.adopt(object, began)
      return object
    })
  }

  /** A refused or conflicting write certainly had no effect; one with a lost answer stays open until it is read back. */
  private failed (error: LimpetwinchError, unsettled: boolean): Result<never, LimpetwinchError> {
    if (!unsettled) this.pending = undefined
    return err(error)
  }

  private settled (object: OwnershipObject): OwnershipObject {
    this.pending = undefined
    return object
  }

  private async readUntilAnswered (signal: AbortSignal): Promise<Result<ReadState, LimpetwinchError>> {
    const backoff = new Backoff(BACKOFF, this.surroundings.random)
    for (;;) {
      const read = await this.readOnce()
      if (read.isOk() || signal.aborted) return read
      await this.surroundings.clock.sleep(backoff.next(), signal)
    }
  }

  private async readOnce (): Promise<Result<ReadState, LimpetwinchError>> {
    const began = this.moment()
    const { dataCentre } = this.surroundings.known()
    const answer = await this.surroundings.store.get(ownershipPath(dataCentre))
    this.storeReachable = answer.isOk()
    return answer.map((object) => this.takeRead(object, began))
  }

  private takeRead (object: StoredObject | undefined, began: Moment): ReadState {
    const stored = object === undefined ? undefined : parseOwnership(object.value)
    this.surroundings.adopt(stored ?? emptyOwnership(this.surroundings.known().dataCentre), began)
    return { storeVersion: object?.version ?? 0, stored }
  }

  private moment (): Moment {
    return { monotonic: this.surroundings.clock.now(), wall: this.surroundings.clock.wallTime() }
  }

  private async inTurn<Value> (work: () => Promise<Value>): Promise<Value> {
    const before = this.last
    const mine = (async () => {
      await before
      return await work()
    })()
    this.last = mine.catch(() => undefined)
    return await mine
  }
}
