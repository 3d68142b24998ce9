/** Creates the parts of one instance that open connections to endpoints, from the instance's other components. */
import { splitAddress } from '@limpetwinch/core'
import type { Clock, EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import type { NoticeFrame, PeerLinks, Supervisor } from '@limpetwinch/entry'
import type { Result } from 'neverthrow'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointSenders } from '../relay/endpoint-senders.js'
import type { ServiceName } from '../routes/configuration.js'
import { CONNECT_MILLISECONDS, DirectDialler } from './endpoint-dialler.js'
import type { DialError, EndpointSocket } from './endpoint-dialler.js'
import { EndpointPaths } from './endpoint-paths.js'
import { PathDialler } from './path-dialler.js'
import { PathExchange } from './path-exchange.js'
import { TunnelAdmission } from './tunnel-admission.js'
import { openTunnel } from './tunnel-client.js'
import { TunnelPeers } from './tunnel-peers.js'
import { TunnelServer } from './tunnel-server.js'

/** Time limit for connecting a tunnel to its endpoint, in milliseconds: the asking instance goes on to the next one while its request waits. */
const TUNNEL_CONNECT_MILLISECONDS = 100

/** The components that the paths need. */
export interface PathComponents {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: EndpointDirectory
  readonly members: MemberList
  readonly overlay: PeerOverlay
  readonly metrics: IngressMetrics
  /** @returns whether the endpoint has asked this instance to back off */
  readonly isBackingOff: (endpoint: EndpointId) => boolean
}

/** The paths of one instance to the endpoints, its own and those through other instances. */
export class InstancePaths {
  readonly paths: EndpointPaths
  readonly peers: TunnelPeers
  readonly dialler: PathDialler
  readonly server: TunnelServer
  readonly exchange: PathExchange
  private readonly parts: PathComponents

  constructor (parts: PathComponents) {
    this.parts = parts
    const { self, clock, logger, directory, members, metrics, isBackingOff } = parts
    const direct = new DirectDialler(CONNECT_MILLISECONDS)
    this.paths = new EndpointPaths({
      clock,
      logger,
      directory,
      tryOwnPath: async (endpoint) => close(await direct.dial(endpoint, notAborted())),
      tryDetour: async (endpoint) => close(await this.dialler.dialThroughPeers(endpoint, notAborted())),
      tryAnyPath: async (endpoint) => { close(await this.dialler.dial(endpoint, notAborted())) }
    })
    this.peers = new TunnelPeers({ clock, dataCentre: members.self.dataCentre, members: () => members.tunnelPeers(), random: Math.random })
    const ownHost = splitAddress(members.self.address).host
    this.dialler = new PathDialler({ self, ownHost, clock, paths: this.paths, peers: this.peers, direct, openTunnel })
    const admission = new TunnelAdmission({
      directory, paths: this.paths, isBackingOff, dialler: new DirectDialler(TUNNEL_CONNECT_MILLISECONDS), hostOf: (instance) => members.hostOf(instance)
    })
    this.server = new TunnelServer({ logger, admission, onDecision: (decision) => metrics.tunnelDecided(decision) })
    this.exchange = new PathExchange({
      clock,
      paths: this.paths,
      peers: this.peers,
      isMember: (instance) => members.hostOf(instance) !== undefined,
      broadcast: (frame) => this.broadcast(frame)
    })
  }

  /** @returns whether an instance, this one or another, reaches the endpoints of a service over its own links, as far as it has announced */
  readonly reachesService = (instance: InstanceId, service: ServiceName): boolean => (
    instance === this.parts.self ? this.paths.reaches(service) : this.peers.reaches(instance, service)
  )

  /** Registers the handlers of notices and of changed paths. */
  connect (network: Pick<PeerLinks, 'onNotice'>, senders: Pick<EndpointSenders, 'handlePathChange'>): void {
    this.exchange.connect(network)
    this.paths.onChange((endpoint, change) => senders.handlePathChange(endpoint, change))
  }

  /** Closes idle tunnels of instances that end, and looks for a cut that no new connection has met yet; called periodically. */
  maintain (senders: Pick<EndpointSenders, 'closeTunnelsOf' | 'checkSilence'>): void {
    const { overlay } = this.parts
    senders.closeTunnelsOf((instance) => overlay.isLeaving(instance) || !overlay.isReachable(instance))
    senders.checkSilence()
  }

  /** Starts the tasks. */
  start (supervisor: Supervisor): void {
    void supervisor.start('paths', async (signal) => { await this.paths.run(signal) })
    void supervisor.start('path notices', async (signal) => { await this.exchange.run(signal) })
  }

  /** A frame of an unknown kind closes a direct connection to an instance of an earlier release; inside the overlay's batches it is only dropped. */
  private broadcast (frame: NoticeFrame): void {
    const { overlay, members } = this.parts
    if (!overlay.isMesh) return overlay.broadcast(frame)
    for (const { instance } of members.tunnelPeers()) overlay.notify(instance, frame)
  }
}

/** Closes a connection that was opened as a trial. @returns whether it was opened */
function close (dialled: Result<EndpointSocket, DialError>): boolean {
  if (dialled.isOk()) dialled.value.stream.destroy()
  return dialled.isOk()
}

function notAborted (): AbortSignal {
  return new AbortController().signal
}
