/** Tells the other instances which services this instance does not reach, and hears the same of them. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { EndpointPaths } from './endpoint-paths.js'
import type { TunnelPeers } from './tunnel-peers.js'

/** Interval between checks whether there is anything to announce, in milliseconds. */
const CHECK_MILLISECONDS = 100
/** Interval after which an announcement is repeated, in milliseconds: it may have been lost, and instances join. */
const REPEAT_MILLISECONDS = 2_000

/** What the exchange needs of the instance. */
export interface PathExchangeDependencies {
  readonly clock: Clock
  readonly paths: Pick<EndpointPaths, 'updateUnreachableServices'>
  readonly peers: TunnelPeers
  readonly isMember: (instance: InstanceId) => boolean
  /** Sends a notice to all instances that know its kind. */
  readonly broadcast: (frame: NoticeFrame) => void
}

/** Announces the unreachable services of this instance; an instance that reaches all of them announces nothing. */
export class PathExchange {
  private readonly parts: PathExchangeDependencies
  private announced = ''
  private announcedAt = -Infinity
  private sequence = 0

  constructor (parts: PathExchangeDependencies) {
    this.parts = parts
  }

  /** Registers the handler of the announcements of other instances. */
  connect (network: Pick<PeerLinks, 'onNotice'>): void {
    network.onNotice('unreachable-services', (from, { services, sequence }) => this.parts.peers.recordAnnouncement(from, services, sequence))
  }

  /** Announces changes until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.clock.sleep(CHECK_MILLISECONDS, signal)
      this.announceIfDue()
      this.parts.peers.keepOnly(this.parts.isMember)
    }
  }

  private announceIfDue (): void {
    const now = this.parts.clock.now()
    const services = [...this.parts.paths.updateUnreachableServices()].toSorted()
    const description = services.join()
    const isRepeat = description === this.announced
    if (isRepeat && (services.length === 0 || now - this.announcedAt < REPEAT_MILLISECONDS)) return
    this.announced = description
    this.announcedAt = now
    this.sequence += 1
    this.parts.broadcast({ kind: 'unreachable-services', services, sequence: this.sequence })
  }
}
