/**
 * Sends work digests to the other instances (peers). A digest is a summary of the outstanding work that this instance has on each endpoint:
 * numbers of requests and tokens. The routers of the peers need it to know the load of an endpoint over all instances.
 */
import type { Clock, EndpointId, InstanceId } from '@limpetwinch/core'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointWorkTracker } from './endpoint-work-tracker.js'

/** Interval between digests. It bounds how old the figures of the peers are on which routing is based, apart from the delay of the messages. */
const DIGEST_MILLISECONDS = 150
/**
 * Above this number of instances, the interval between digests grows in proportion to the number of instances, so that the number of digests
 * that each instance receives per second stays about the same. Each instance then holds a smaller share of the work, so its digest may
 * be older.
 */
const MEMBERS_AT_FULL_RATE = 20

/**
 * Time in which calls of `sendSoon` for one peer are combined into one message. While adapter loads wait for a slot of an engine, the end of a
 * run is reported to the load owner of that engine without waiting for the next digest. Otherwise the slot would stay empty for half a
 * digest interval on average, which is a tenth of a short run.
 */
const SEND_SOON_MILLISECONDS = 20

/**
 * Time in which long prompts that this instance sends are combined into one notice for each engine. It is short against the time that an
 * engine takes to read such a prompt.
 */
const CHANGE_MILLISECONDS = 20
/**
 * Notices about long prompts per second of all instances together, which bounds what each instance receives. Beyond it, peers learn of long
 * prompts from the next digest.
 */
const CHANGES_PER_SECOND = 150
/** Notices that an instance may send at once after it has sent none for a while. */
const CHANGE_BURST = 3
const MILLISECONDS_PER_SECOND = 1_000

/** Sends the work digests of this instance to its peers. */
export class WorkDigests {
  private readonly peers: Pick<PeerOverlay, 'notify' | 'broadcast'>
  private readonly workTracker: EndpointWorkTracker
  private readonly members: () => number
  private readonly clock: Clock
  private readonly soon = new Set<InstanceId>()
  /** Engines to which this instance has just sent a long prompt. */
  private readonly changed = new Set<EndpointId>()
  private allowance = CHANGE_BURST
  private allowanceAt = -Infinity

  /** @param members - returns the number of instances */
  constructor (peers: Pick<PeerOverlay, 'notify' | 'broadcast'>, workTracker: EndpointWorkTracker, members: () => number, clock: Clock) {
    this.peers = peers
    this.workTracker = workTracker
    this.members = members
    this.clock = clock
  }

  /** Sends the outstanding work of this instance to a peer at once. */
  send (peer: InstanceId): void {
    this.peers.notify(peer, { kind: 'relay-load', loads: this.workTracker.present() })
  }

  /** Sends the outstanding work of this instance to a peer soon; calls in quick succession result in one message. */
  sendSoon (peer: InstanceId): void {
    if (this.soon.has(peer)) return
    this.soon.add(peer)
    setTimeout(() => {
      this.soon.delete(peer)
      this.send(peer)
    }, SEND_SOON_MILLISECONDS)
  }

  /**
   * Tells all peers soon that this instance has sent a long prompt to an engine. The age of digests grows with the fleet, and at 66 instances
   * many would send prompts to the same engine before they learn of each other's.
   */
  announce (endpoint: EndpointId): void {
    if (this.changed.size === 0) void this.clock.sleep(CHANGE_MILLISECONDS).then(() => this.sendChanges())
    this.changed.add(endpoint)
  }

  /** Sends digests to all peers until the signal is aborted. An empty digest is sent once, so that peers drop the previous one. */
  async run (signal: AbortSignal): Promise<void> {
    let wasEmpty = true
    while (!signal.aborted) {
      await this.clock.sleep(DIGEST_MILLISECONDS * Math.max(1, this.members() / MEMBERS_AT_FULL_RATE), signal)
      const loads = this.workTracker.digest()
      if (loads.length === 0 && wasEmpty) continue
      wasEmpty = loads.length === 0
      this.peers.broadcast({ kind: 'relay-load', loads }, 'patient')
    }
  }

  private sendChanges (): void {
    const now = this.clock.now()
    const rate = CHANGES_PER_SECOND / Math.max(1, this.members()) / MILLISECONDS_PER_SECOND
    this.allowance = Math.min(CHANGE_BURST, this.allowance + (now - this.allowanceAt) * rate)
    this.allowanceAt = now
    for (const endpoint of this.changed) {
      if (this.allowance < 1) break
      this.allowance -= 1
      this.peers.broadcast({ kind: 'work-changed', ...this.workTracker.presentTotals(endpoint) })
    }
    this.changed.clear()
  }
}
