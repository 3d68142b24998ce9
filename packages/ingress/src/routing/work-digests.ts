/** Tells peers what this instance has in hand on each endpoint. */
import type { Clock } from '@limpetwinch/core'
import type { PeerNetwork } from '@limpetwinch/entry'
import type { LoadBoard } from './load-board.js'

/** Routing by the work of peers is this old. */
const DIGEST_MILLISECONDS = 150
/**
 * Beyond so many instances digests become rarer in proportion, so that what each sends and reads stays the same; each
 * then holds a smaller part of the work, and its own share of the picture can be older.
 */
const MEMBERS_AT_FULL_PACE = 10

/** Digests of one instance. */
export class WorkDigests {
  private readonly network: PeerNetwork
  private readonly board: LoadBoard
  private readonly members: () => number
  private readonly clock: Clock

  /** @param members - how many instances there are */
  constructor (network: PeerNetwork, board: LoadBoard, members: () => number, clock: Clock) {
    this.network = network
    this.board = board
    this.members = members
    this.clock = clock
  }

  /** Tells until the signal ends it; an empty digest once, so that peers forget the last one. */
  async run (signal: AbortSignal): Promise<void> {
    let wasEmpty = true
    while (!signal.aborted) {
      await this.clock.sleep(DIGEST_MILLISECONDS * Math.max(1, this.members() / MEMBERS_AT_FULL_PACE), signal)
      const loads = this.board.digest()
      if (loads.length === 0 && wasEmpty) continue
      wasEmpty = loads.length === 0
      for (const peer of this.network.connected()) this.network.notify(peer, { kind: 'relay-load', loads })
    }
  }
}
