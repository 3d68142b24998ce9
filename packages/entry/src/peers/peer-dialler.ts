/** Task that keeps a connection to one peer, or dials the peer on demand. */
import { LimpetwinchError } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { Wake } from '../concurrency/wake.js'
import type { ConnectionTable } from './connection-table.js'
import type { FrameCounter } from './frame-counter.js'
import { dial, handshake } from './handshake.js'
import { PeerConnection } from './peer-connection.js'
import type { ConnectionDependencies } from './peer-connection.js'
import type { EndEvidence, PeerIdentity, PeerTarget } from './peer-links.js'

/** Delays between attempts to dial, in heartbeat intervals. */
const BACKOFF = { first: 0.05, largest: 2 }
/** How long a connection on demand stays open without any frame other than heartbeats. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000
/** Maximum interval between checks whether to dial or to close an idle connection; a change triggers a check at once. */
const CHECK_INTERVAL_MILLISECONDS = 5_000

/** What a dialler uses of the network. */
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

/** Dials one target until it is stopped. */
export class PeerDialler {
  target: PeerTarget
  private readonly dependencies: DiallerDependencies
  private readonly wake = new Wake()
  private readonly stopping = new AbortController()
  private isRequested = false
  /**
   * Whether another process answered at the target's address: the target has ended and will not come back. Dialling the
   * target again until the platform's list names the new process would, after a restart of a whole fleet, take processor
   * time from the first requests at both ends.
   */
  private isReplaced = false

  /**
   * @param target - the peer to dial
   * @param dependencies - what the dialler uses of the network
   */
  constructor (target: PeerTarget, dependencies: DiallerDependencies) {
    this.target = target
    this.dependencies = dependencies
  }

  /** Requests a connection now, even to a target without a kept connection. */
  requestConnection (): void {
    this.isRequested = true
    this.wake.notify()
  }

  /** Checks at once whether to dial, after a change of the target or of its connections. */
  reevaluate (): void {
    this.wake.notify()
  }

  /** Ends the task; an open connection stays open. */
  stop (): void {
    this.stopping.abort()
  }

  /** Dials whenever a connection is needed and none is open. */
  async run (): Promise<void> {
    const { signal } = this.stopping
    const interval = this.dependencies.intervalMilliseconds
    const backoff = new Backoff({ first: BACKOFF.first * interval, largest: BACKOFF.largest * interval }, this.dependencies.random)
    await this.waitForIncomingConnection(signal)
    while (!signal.aborted) {
      if (!this.shouldBeConnected() || this.isConnected()) {
        this.closeIdle()
        await this.wake.wait(CHECK_INTERVAL_MILLISECONDS, signal)
        continue
      }
      if (await this.connectOnce(signal)) backoff.reset()
      if (!this.isConnected()) await this.dependencies.connection.clock.sleep(backoff.next(), signal)
    }
  }

  /** Usually each side has the other as a target; the one with the higher id dials first, so that a pair rarely has two connections. */
  private async waitForIncomingConnection (signal: AbortSignal): Promise<void> {
    if (this.target.dialsBack === false || this.dependencies.self.instance > this.target.instance) return
    const until = this.dependencies.connection.clock.now() + 2 * this.dependencies.intervalMilliseconds
    while (!signal.aborted && !this.isRequested && !this.isConnected()) {
      const left = until - this.dependencies.connection.clock.now()
      if (left <= 0) return
      await this.wake.wait(left, signal)
    }
  }

  private shouldBeConnected (): boolean {
    return !this.isReplaced && (this.target.keep || this.isRequested)
  }

  private isConnected (): boolean {
    return this.dependencies.table.newest(this.target.instance) !== undefined
  }

  private closeIdle (): void {
    const connection = this.dependencies.table.newest(this.target.instance)
    if (connection === undefined || this.target.keep || !connection.dialled) return
    if (this.dependencies.connection.clock.now() - connection.lastUsedAt < IDLE_TIMEOUT_MILLISECONDS) return
    this.isRequested = false
    connection.end('nothing was sent for a while')
  }

  /** Dials once. @returns whether a connection was opened, which is then served in a task of its own */
  private async connectOnce (signal: AbortSignal): Promise<boolean> {
    const { intervalMilliseconds, self, counter } = this.dependencies
    const limit = 2 * intervalMilliseconds
    const socket = await dial(this.target.address, limit, signal)
    if (socket.isErr()) {
      if (socket.error.code === 'ECONNREFUSED') this.dependencies.onEvidence('refused')
      return this.failed()
    }
    const handshakeResult = await handshake(socket.value, self, true, limit, counter)
    if (handshakeResult.isErr()) return this.failed()
    const { hello, frames } = handshakeResult.value
    // Another process listens at the address now. Frames for the earlier process must not reach it, since the new process
    // would take an old call for one of its own. Once the platform's list names the new process, that process is
    // dialled as a target of its own.
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

  /** A failed attempt ends the request for a connection; the next call requests one again. */
  private failed (): boolean {
    if (!this.target.keep) this.isRequested = false
    return false
  }
}

/** @returns the error for a peer that could not be reached, so that the call was not sent */
export function unreachableError (instance: string, reason: string): LimpetwinchError {
  return new LimpetwinchError('peer-unreachable', { instance, reason })
}
