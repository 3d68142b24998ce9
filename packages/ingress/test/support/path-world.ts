/** Instances, endpoints and the links between them, under a test's clock and without a network. */
import { silentLogger } from '@limpetwinch/core'
import type { DataCentreId, EndpointId, InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { EndpointDirectory } from '../../src/endpoints/endpoint-directory.js'
import { DialError, EndpointDialler } from '../../src/paths/endpoint-dialler.js'
import type { EndpointSocket } from '../../src/paths/endpoint-dialler.js'
import { EndpointPaths } from '../../src/paths/endpoint-paths.js'
import { PathDialler } from '../../src/paths/path-dialler.js'
import type { PathDiallerDependencies } from '../../src/paths/path-dialler.js'
import { PathExchange } from '../../src/paths/path-exchange.js'
import { TunnelAdmission } from '../../src/paths/tunnel-admission.js'
import type { TunnelPeer, TunnelRefusal, TunnelRequest } from '../../src/paths/tunnel-client.js'
import { TunnelPeers } from '../../src/paths/tunnel-peers.js'
import type { TunnelStream } from '../../src/paths/tunnel-stream.js'
import type { Endpoint } from '../../src/routes/configuration.js'
import { ManualClock } from './manual-clock.js'
import { endpoint } from './samples.js'

const LINK_MILLISECONDS = 1
const DIRECT_MILLISECONDS = 250
const TUNNEL_CONNECT_MILLISECONDS = 100

/** How a link fails: connections are refused, or nothing is heard. */
export type LinkFailure = 'refused' | 'silent'

/** How the instances choose paths; tests replace parts to show that a check catches what goes wrong without them. */
export interface PathBehaviour {
  readonly createDialler: (parts: PathDiallerDependencies) => PathDialler
  /** Whether an instance that carries a connection for another one may itself take a detour. */
  readonly takesSecondDetour: boolean
}

const DEFAULT_BEHAVIOUR: PathBehaviour = { createDialler: (parts) => new PathDialler(parts), takesSecondDetour: false }

/** A connection that a simulated instance opened. */
export interface OpenedPath {
  /** Number of instances between the one that opened the connection and the endpoint. */
  readonly hops: number
  readonly milliseconds: number
}

interface SimulatedStream extends TunnelStream {
  readonly hops: number
}

/** One instance with its paths. */
export class PathInstance {
  readonly id: InstanceId
  readonly dataCentre: DataCentreId
  readonly directory = new EndpointDirectory(silentLogger())
  readonly paths: EndpointPaths
  readonly peers: TunnelPeers
  readonly dialler: PathDialler
  readonly admission: TunnelAdmission
  isUp = true
  private readonly ending = new AbortController()

  constructor (id: string, dataCentre: string, world: PathWorld) {
    this.id = id as InstanceId
    this.dataCentre = dataCentre as DataCentreId
    const { clock, behaviour } = world
    const { directory } = this
    directory.apply({ revision: 1, endpoints: world.endpoints }, undefined, clock.now())
    const direct = new SimulatedDialler(world, this, DIRECT_MILLISECONDS)
    this.paths = new EndpointPaths({
      clock,
      logger: silentLogger(),
      directory,
      tryOwnPath: async (each) => (await direct.dial(each, new AbortController().signal)).isOk(),
      tryDetour: async (each) => (await this.dialler.dialThroughPeers(each, new AbortController().signal)).isOk(),
      tryAnyPath: async (each) => { await this.dialler.dial(each, new AbortController().signal) }
    })
    this.peers = new TunnelPeers({ clock, dataCentre: this.dataCentre, members: () => world.peersOf(this), random: world.random })
    const parts = { self: this.id, ownHost: id, clock, paths: this.paths, peers: this.peers, direct }
    this.dialler = behaviour.createDialler({ ...parts, openTunnel: async (peer, asked) => await world.openTunnel(peer, asked) })
    const carrying = behaviour.takesSecondDetour ? this.dialler : new SimulatedDialler(world, this, TUNNEL_CONNECT_MILLISECONDS)
    this.admission = new TunnelAdmission({ directory, paths: this.paths, dialler: carrying, isBackingOff: () => false, hostOf: (instance) => instance })
    const exchange = new PathExchange({
      clock,
      paths: this.paths,
      peers: this.peers,
      isMember: () => true,
      broadcast: (frame) => {
        if (frame.kind !== 'unreachable-services') return
        for (const other of world.instances) if (other !== this && other.isUp) other.peers.recordAnnouncement(this.id, frame.services, frame.sequence)
      }
    })
    void this.paths.run(this.ending.signal)
    void exchange.run(this.ending.signal)
  }

  /** Ends the instance. */
  end (): void {
    this.isUp = false
    this.ending.abort()
  }
}

/** The instances, the endpoints and the links between them. */
export class PathWorld {
  readonly clock = new ManualClock()
  readonly endpoints: readonly Endpoint[]
  readonly instances: PathInstance[] = []
  readonly behaviour: PathBehaviour
  readonly random: () => number
  /** Number of connections that instances tried to open over their own links. */
  trials = 0
  private readonly failures = new Map<string, LinkFailure>()
  private readonly down = new Map<EndpointId, LinkFailure>()

  /** @param random - returns a number from 0 to 1 */
  constructor (instances: number, endpoints: number, random: () => number, behaviour: Partial<PathBehaviour> = {}) {
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...behaviour }
    this.random = random
    this.endpoints = Array.from({ length: endpoints }, (_, index) => endpoint(`e${index}`))
    for (let index = 0; index < instances; index += 1) this.instances.push(new PathInstance(`i${index}`, `dc-${index % 3}`, this))
  }

  /** Cuts an instance off from all endpoints. */
  cut (instance: PathInstance, failure: LinkFailure): void {
    for (const { id } of this.endpoints) this.failures.set(`${instance.id} ${id}`, failure)
  }

  /** Restores the links of an instance. */
  restore (instance: PathInstance): void {
    for (const { id } of this.endpoints) this.failures.delete(`${instance.id} ${id}`)
  }

  /** Ends an endpoint for all instances. */
  stop (id: EndpointId, failure: LinkFailure): void {
    this.down.set(id, failure)
  }

  /** Lets an endpoint that was stopped go on. */
  resume (id: EndpointId): void {
    this.down.delete(id)
  }

  /** @returns whether an instance reaches an endpoint over its own link; else how the link fails */
  link (instance: PathInstance, id: EndpointId): 'open' | LinkFailure {
    return this.down.get(id) ?? this.failures.get(`${instance.id} ${id}`) ?? 'open'
  }

  /** @returns whether any running instance reaches the endpoint */
  isReachable (id: EndpointId): boolean {
    return this.instances.some((instance) => instance.isUp && this.link(instance, id) === 'open')
  }

  /** @returns the instances that another one may ask for tunnels */
  peersOf (self: PathInstance): readonly TunnelPeer[] {
    return this.instances.filter((each) => each !== self && each.isUp).map(({ id, dataCentre }) => ({ instance: id, dataCentre, address: `${id}:1` }))
  }

  /** Opens a tunnel as the real client and server do. */
  async openTunnel (peer: TunnelPeer, { endpoint: id, self, milliseconds, signal }: TunnelRequest): Promise<Result<TunnelStream, TunnelRefusal>> {
    const instance = this.instances.find((each) => each.id === peer.instance)
    const ended = new AbortController()
    const late = this.clock.sleep(milliseconds, ended.signal).then(() => err<TunnelStream, TunnelRefusal>('no-answer'))
    const answer = async (): Promise<Result<TunnelStream, TunnelRefusal>> => {
      await this.clock.sleep(LINK_MILLISECONDS)
      if (instance?.isUp !== true) return await late
      const opened = await instance.admission.connect({ endpoint: id, from: self, host: self, tunnels: 1, signal })
      return opened.map(({ stream }) => streamWith((stream as SimulatedStream).hops + 1))
    }
    const result = await Promise.race([answer(), late])
    ended.abort()
    return result
  }

  /** Opens a connection from an instance. @returns the path; undefined when none was found */
  async open (instance: PathInstance, id: EndpointId): Promise<OpenedPath | undefined> {
    const startedAt = this.clock.now()
    const target = this.endpoints.find((each) => each.id === id)
    if (target === undefined) return undefined
    const dialled = await instance.dialler.dial(target, new AbortController().signal)
    if (dialled.isErr()) return undefined
    return { hops: (dialled.value.stream as SimulatedStream).hops, milliseconds: this.clock.now() - startedAt }
  }

  /** Advances the time while connections are opened. @returns the paths of all instances to all endpoints that any of them reaches */
  async openAll (): Promise<(OpenedPath | undefined)[]> {
    const running = this.instances.filter(({ isUp }) => isUp)
    const targets = this.endpoints.filter(({ id }) => this.isReachable(id))
    const opened: (OpenedPath | undefined)[] = []
    const count = running.length * targets.length
    for (const instance of running) for (const { id } of targets) void this.open(instance, id).then((path) => { opened.push(path) })
    while (opened.length < count) await this.clock.advance(10)
    return opened
  }

  /** Ends all instances. */
  end (): void {
    for (const instance of this.instances) instance.end()
  }
}

class SimulatedDialler extends EndpointDialler {
  private readonly world: PathWorld
  private readonly instance: PathInstance
  private readonly milliseconds: number

  constructor (world: PathWorld, instance: PathInstance, milliseconds: number) {
    super()
    this.world = world
    this.instance = instance
    this.milliseconds = milliseconds
  }

  override async dial ({ id }: Endpoint, signal: AbortSignal): Promise<Result<EndpointSocket, DialError>> {
    this.world.trials += 1
    const link = this.world.link(this.instance, id)
    await this.world.clock.sleep(link === 'silent' ? this.milliseconds : LINK_MILLISECONDS, signal)
    if (link !== 'open' || signal.aborted) return err(new DialError(link === 'refused' ? 'refused' : 'silent', link))
    return ok({ stream: streamWith(0), via: undefined, provesOrderlyEnd: async () => true })
  }
}

function streamWith (hops: number): SimulatedStream {
  return { hops, destroy: () => {} } as unknown as SimulatedStream
}
