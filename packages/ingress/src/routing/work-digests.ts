/** Tells peers what this instance has in hand on each endpoint. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointWorkTracker } from './endpoint-work-tracker.js'

/** Routing by the work of peers is this old. */
const DIGEST_MILLISECONDS = 150
/**
 * Beyond so many instances digests become rarer in proportion, so that what each reads stays the same; each then holds a
 * smaller part of the work, and its own share of the picture can be older.
 */
const MEMBERS_AT_FULL_RATE = 20

/**
 * Between two words to one peer out of turn. Where loads wait for a slot, a run that has ended is told at once to the one
 * that orders the engine: by the next digest the slot would stand empty for half a digest's time, a tenth of a short run.
 */
const SEND_SOON_MILLISECONDS = 20

/** Digests of one instance. */
export class WorkDigests {
  private readonly peers: Pick<PeerOverlay, 'notify' | 'broadcast'>
  private readonly board: EndpointWorkTracker
  private readonly members: () => number
  private readonly clock: Clock
  private readonly soon = new Set<InstanceId>()

  /** @param members - how many instances there are */
  constructor (peers: Pick<PeerOverlay, 'notify' | 'broadcast'>, board: EndpointWorkTracker, members: () => number, clock: Clock) {
    this.peers = peers
    this.board = board
    this.members = members
    this.clock = clock
  }

  /** Tells the peer at once what this instance has in hand. */
  send (peer: InstanceId): void {
    this.peers.notify(peer, { kind: 'relay-load', loads: this.board.present() })
  }

  /** Tells the peer soon what this instance has in hand; calls that come close together make one word. */
  sendSoon (peer: InstanceId): void {
    if (this.soon.has(peer)) return
    this.soon.add(peer)
    setTimeout(() => {
      this.soon.delete(peer)
      this.send(peer)
    }, SEND_SOON_MILLISECONDS)
  }

  /** Tells until the signal ends it; an empty digest once, so that peers forget the last one. */
  async run (signal: AbortSignal): Promise<void> {
    let wasEmpty = true
    while (!signal.aborted) {
      await this.clock.sleep(DIGEST_MILLISECONDS * Math.max(1, this.members() / MEMBERS_AT_FULL_RATE), signal)
      const loads = this.board.digest()
      if (loads.length === 0 && wasEmpty) continue
      wasEmpty = loads.length === 0
      this.peers.broadcast({ kind: 'relay-load', loads }, 'patient')
    }
  }
}
