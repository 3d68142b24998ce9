/** The task that keeps one peer connected, or dials it on demand. */
import { LimpetwinchError } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { Wake } from '../concurrency/wake.js'
import type { ConnectionTable } from './connection-table.js'
import type { FrameCounter } from './frame-counter.js'
import { dial, handshake } from './handshake.js'
import { PeerConnection } from './peer-connection.js'
import type { ConnectionDependencies } from './peer-connection.js'
import type { EndEvidence, PeerIdentity, PeerTarget } from './peer-links.js'

/** In heartbeat intervals. */
const BACKOFF = { first: 0.05, largest: 2 }
const IDLE_TIMEOUT_MILLISECONDS = 60_000
const CHECK_INTERVAL_MILLISECONDS = 5_000

/** What a dialler needs from the network. */
export interface DiallerDependencies {
  readonly self: PeerIdentity
  readonly table: ConnectionTable
  readonly counter: FrameCounter
  readonly connection: ConnectionDependencies
  readonly random: () => number
  readonly intervalMilliseconds: number
  readonly serve: (connection: PeerConnection) => void
  readonly onEvidence: (evidence: EndEvidence) => void
}

/** Dials one target for as long as it is one. */
export class PeerDialler {
  target: PeerTarget
  private readonly dependencies: DiallerDependencies
  private readonly wake = new Wake()
  private readonly stopping = new AbortController()
  private isRequested = false
  /**
   * Another process answered at the target's address: this one has ended and will not come back. Dialled again until the list
   * names the new one, after a restart of a whole fleet it would take processor time from the first requests of both ends.
   */
  private isReplaced = false

  /**
   * @param target - whom to dial
   * @param dependencies - what the network lends
   */
  constructor (target: PeerTarget, dependencies: DiallerDependencies) {
    this.target = target
    this.dependencies = dependencies
  }

  /** Asks for a connection now. */
  requestConnection (): void {
    this.isRequested = true
    this.wake.notify()
  }

  /** Takes up a change of the target or of its connections. */
  reevaluate (): void {
    this.wake.notify()
  }

  /** Ends the task; a live connection is left to its end. */
  stop (): void {
    this.stopping.abort()
  }

  /** Dials whenever a connection is wanted and none is there. */
  async run (): Promise<void> {
    const { signal } = this.stopping
    const interval = this.dependencies.intervalMilliseconds
    const backoff = new Backoff({ first: BACKOFF.first * interval, largest: BACKOFF.largest * interval }, this.dependencies.random)
    await this.waitForIncomingConnection(signal)
    while (!signal.aborted) {
      if (!this.wanted() || this.connected()) {
        this.closeIdle()
        await this.wake.wait(CHECK_INTERVAL_MILLISECONDS, signal)
        continue
      }
      if (await this.connectOnce(signal)) backoff.reset()
      if (!this.connected()) await this.dependencies.connection.clock.sleep(backoff.next(), signal)
    }
  }

  /** Both know of each other as a rule; the higher id dials first, so that a pair seldom holds two connections. */
  private async waitForIncomingConnection (signal: AbortSignal): Promise<void> {
    if (this.target.dialsBack === false || this.dependencies.self.instance > this.target.instance) return
    const until = this.dependencies.connection.clock.now() + 2 * this.dependencies.intervalMilliseconds
    while (!signal.aborted && !this.isRequested && !this.connected()) {
      const left = until - this.dependencies.connection.clock.now()
      if (left <= 0) return
      await this.wake.wait(left, signal)
    }
  }

  private wanted (): boolean {
    return !this.isReplaced && (this.target.keep || this.isRequested)
  }

  private connected (): boolean {
    return this.dependencies.table.newest(this.target.instance) !== undefined
  }

  private closeIdle (): void {
    const connection = this.dependencies.table.newest(this.target.instance)
    if (connection === undefined || this.target.keep || !connection.dialled) return
    if (this.dependencies.connection.clock.now() - connection.lastUsedAt < IDLE_TIMEOUT_MILLISECONDS) return
    this.isRequested = false
    connection.end('nothing was sent for a while')
  }

  /** @returns whether a connection was made; it is served in its own task */
  private async connectOnce (signal: AbortSignal): Promise<boolean> {
    const { intervalMilliseconds, self, counter } = this.dependencies
    const limit = 2 * intervalMilliseconds
    const socket = await dial(this.target.address, limit, signal)
    if (socket.isErr()) {
      if (socket.error.code === 'ECONNREFUSED') this.dependencies.onEvidence('refused')
      return this.failed()
    }
    const greeted = await handshake(socket.value, self, true, limit, counter)
    if (greeted.isErr()) return this.failed()
    const { hello, frames } = greeted.value
    // Another process listens here now. What was meant for the earlier one must not reach it: to the new one an
    // old call would look like its own. The list brings its id, under which it is dialled anew.
    if (hello.instance !== this.target.instance || signal.aborted) {
      socket.value.destroy()
      if (!signal.aborted) {
        this.isReplaced = true
        this.dependencies.onEvidence('replaced')
      }
      return this.failed()
    }
    const connection = new PeerConnection(socket.value, frames, hello, true, intervalMilliseconds, this.dependencies.connection)
    this.dependencies.serve(connection)
    return true
  }

  /** A demand that failed once is over; the next call makes another. */
  private failed (): boolean {
    if (!this.target.keep) this.isRequested = false
    return false
  }
}

/** @returns the error for a peer that cannot be reached and was therefore not asked */
export function unreachableError (instance: string, reason: string): LimpetwinchError {
  return new LimpetwinchError('peer-unreachable', { instance, reason })
}
