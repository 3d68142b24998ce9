/** Simulates the connections between many instances in one process, under a test's clock: connections can be cut and instances killed. */
import { LimpetwinchError, silentLogger } from '@limpetwinch/core'
import type { DataCentreId, FrameOf, InstanceId, PeerFrame } from '@limpetwinch/core'
import { decodeFrame, encodeFrame, PeerLinks } from '@limpetwinch/entry'
import type { EndEvidence, FrameCounts, ReceivedHeartbeat, NoticeFrame, PeerIdentity, PeerTarget, ReplyBody } from '@limpetwinch/entry'
import { err, ResultAsync } from 'neverthrow'
import type { Member } from '../../src/members/cluster-objects.js'
import { PeerOverlay } from '../../src/overlay/peer-overlay.js'
import type { ManualClock } from './manual-clock.js'

/** One-way latency between two instances; a dial takes twice as long. */
const LATENCY_MILLISECONDS = 1
/** Time after which an unresponsive connection is dropped: three heartbeat intervals. */
const UNRESPONSIVE_MILLISECONDS = 1_500
const REDIAL_MILLISECONDS = 100
/** Difference between the times at which two instances read the same change from the store. */
const READ_OFFSET_MILLISECONDS = 20

/** The connections of one instance. */
export class SimulatedLinks extends PeerLinks {
  override readonly self: PeerIdentity
  readonly peers = new Map<InstanceId, SimulatedLinks>()
  isUp = true
  /** Number of frames received. */
  received = 0
  private readonly network: SimulatedNetwork
  private readonly handlers = new Map<string, ((from: InstanceId, frame: PeerFrame) => void)[]>()
  private readonly connectedListeners: ((peer: PeerIdentity) => void)[] = []
  private readonly disconnectedListeners: ((instance: InstanceId) => void)[] = []
  private readonly evidenceListeners: ((instance: InstanceId, evidence: EndEvidence) => void)[] = []
  private readonly lastHeardAt = new Map<InstanceId, number>()
  private targets: readonly PeerTarget[] = []

  constructor (self: PeerIdentity, network: SimulatedNetwork) {
    super()
    this.self = self
    this.network = network
  }

  override notify (to: InstanceId, frame: NoticeFrame): void {
    const encoded = encodeFrame(frame)
    if (encoded.isOk()) this.network.deliver(this, to, encoded.value)
  }

  override notifyAll (to: Iterable<InstanceId>, frame: NoticeFrame): void {
    for (const instance of to) this.notify(instance, frame)
  }

  override deliverForwarded (origin: InstanceId, bytes: Uint8Array): void {
    const decoded = decodeFrame(bytes)
    if (decoded.isOk()) this.dispatch(origin, decoded.value)
  }

  override call (): ResultAsync<ReplyBody, LimpetwinchError> {
    return new ResultAsync(Promise.resolve(err(new LimpetwinchError('peer-unreachable', { instance: '', reason: 'no calls here' }))))
  }

  override onNotice<Kind extends NoticeFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>) => void): void {
    const handlers = this.handlers.get(kind) ?? []
    this.handlers.set(kind, [...handlers, handler as (from: InstanceId, frame: PeerFrame) => void])
  }

  override onCall (): void {}

  override connected (): readonly InstanceId[] {
    return [...this.peers.keys()]
  }

  override isConnected (instance: InstanceId): boolean {
    return this.peers.has(instance)
  }

  override disconnect (instance: InstanceId): void {
    const other = this.peers.get(instance)
    this.dropPeer(instance)
    other?.dropPeer(this.self.instance)
  }

  override counts (): FrameCounts {
    return {}
  }

  override setTargets (targets: readonly PeerTarget[]): void {
    this.targets = targets
    for (const { instance } of targets) this.network.dial(this, instance)
  }

  override setHeartbeatBody (): void {}

  override lastContactAt (instance: InstanceId): number | undefined {
    return this.peers.has(instance) ? this.network.clock.now() : this.lastHeardAt.get(instance)
  }

  override onConnected (listener: (peer: PeerIdentity) => void): void {
    this.connectedListeners.push(listener)
  }

  override onDisconnected (listener: (instance: InstanceId) => void): void {
    this.disconnectedListeners.push(listener)
  }

  override onHeartbeat (_listener: (from: InstanceId, heartbeat: ReceivedHeartbeat) => void): void {}

  override onEndEvidence (listener: (instance: InstanceId, evidence: EndEvidence) => void): void {
    this.evidenceListeners.push(listener)
  }

  shouldDial (instance: InstanceId): boolean {
    return this.isUp && !this.peers.has(instance) && this.targets.some((target) => target.instance === instance)
  }

  addPeer (other: SimulatedLinks): void {
    this.peers.set(other.self.instance, other)
    for (const listener of this.connectedListeners) listener(other.self)
  }

  dropPeer (instance: InstanceId): void {
    if (!this.peers.delete(instance)) return
    this.lastHeardAt.set(instance, this.network.clock.now())
    for (const listener of this.disconnectedListeners) listener(instance)
    this.network.dial(this, instance)
  }

  reportRefusal (instance: InstanceId): void {
    for (const listener of this.evidenceListeners) listener(instance, 'refused')
  }

  receive (from: InstanceId, frame: PeerFrame): void {
    this.received += 1
    this.dispatch(from, frame)
  }

  dispatch (from: InstanceId, frame: PeerFrame): void {
    for (const handler of this.handlers.get(frame.kind) ?? []) handler(from, frame)
  }
}

/** One instance with its overlay and the notices it received. */
export interface SimulatedInstance {
  readonly member: Member
  readonly links: SimulatedLinks
  readonly overlay: PeerOverlay
  /** Received notices, each as `sender key`, in the order of arrival. */
  readonly heard: string[]
  readonly stop: () => void
}

/** All instances and the network between them. */
export class SimulatedNetwork {
  readonly clock: ManualClock
  readonly instances: SimulatedInstance[] = []
  private readonly cutOff = new Set<DataCentreId>()
  private starts = 0

  constructor (clock: ManualClock) {
    this.clock = clock
  }

  /** Starts instances. Each knows the first `known` members, all of them by default. */
  start (dataCentres: number, perDataCentre: number, known = Infinity): void {
    for (let index = 0; index < dataCentres * perDataCentre; index++) {
      const name = `host-${String(index).padStart(3, '0')}`
      const dataCentre = `dc-${index % dataCentres}` as DataCentreId
      this.add({ name, instance: `i-${name}` as InstanceId, address: name, dataCentre, cores: 1, version: index + 1 })
    }
    for (const { overlay } of this.instances) overlay.apply(this.instances.map(({ member }) => member).slice(0, known))
  }

  /** Kills an instance: its connections close at once. */
  kill (killed: SimulatedInstance): void {
    killed.links.isUp = false
    killed.stop()
    for (const peer of [...killed.links.peers.keys()]) killed.links.disconnect(peer)
  }

  /**
   * Starts a new process on the host of an instance that has ended. The others read the new member from the store one after the
   * other, within some hundred milliseconds.
   */
  restart (killed: SimulatedInstance): SimulatedInstance {
    this.starts += 1
    const started = this.add({ ...killed.member, instance: `${killed.member.name}-${this.starts}` as InstanceId })
    const members = [...new Map(this.instances.map(({ member }) => [member.name, member])).values()]
    for (const [place, { overlay }] of this.instances.entries()) {
      void this.clock.sleep(place * READ_OFFSET_MILLISECONDS).then(() => overlay.apply(members))
    }
    return started
  }

  /** Cuts a data centre off from the others: connections between them deliver nothing and are dropped after a while. */
  cut (dataCentre: DataCentreId): void {
    this.cutOff.add(dataCentre)
    void this.clock.sleep(UNRESPONSIVE_MILLISECONDS).then(() => {
      for (const { links } of this.instances) {
        for (const [instance, other] of [...links.peers]) if (!this.isOpen(links, other)) links.dropPeer(instance)
      }
    })
  }

  /** Ends all cuts. */
  heal (): void {
    this.cutOff.clear()
  }

  /** Stops the tasks of all instances. */
  end (): void {
    for (const { stop } of this.instances) stop()
  }

  dial (from: SimulatedLinks, to: InstanceId): void {
    if (!from.shouldDial(to)) return
    void this.clock.sleep(2 * LATENCY_MILLISECONDS).then(async () => {
      const other = this.find(to)
      if (!from.shouldDial(to)) return
      if (other !== undefined && other.isUp && this.isOpen(from, other)) {
        from.addPeer(other)
        other.addPeer(from)
        return
      }
      if (other?.isUp === false) from.reportRefusal(to)
      await this.clock.sleep(REDIAL_MILLISECONDS)
      this.dial(from, to)
    })
  }

  deliver (from: SimulatedLinks, to: InstanceId, bytes: Buffer): void {
    const other = from.peers.get(to)
    if (other === undefined || !this.isOpen(from, other)) return
    void this.clock.sleep(LATENCY_MILLISECONDS).then(() => {
      if (other.isUp && this.isOpen(from, other)) other.receive(from.self.instance, decodeFrame(bytes)._unsafeUnwrap())
    })
  }

  private add (member: Member): SimulatedInstance {
    const links = new SimulatedLinks(member, this)
    const overlay = new PeerOverlay({ self: member, network: links, clock: this.clock, logger: silentLogger() })
    const heard: string[] = []
    links.onNotice('load-refused', (from, { key }) => heard.push(`${from} ${key}`))
    const ending = new AbortController()
    void overlay.run(ending.signal)
    const started = { member, links, overlay, heard, stop: () => ending.abort() }
    this.instances.push(started)
    return started
  }

  private isOpen (one: SimulatedLinks, other: SimulatedLinks): boolean {
    return one.self.dataCentre === other.self.dataCentre || !(this.cutOff.has(one.self.dataCentre) || this.cutOff.has(other.self.dataCentre))
  }

  private find (instance: InstanceId): SimulatedLinks | undefined {
    return this.instances.find(({ member }) => member.instance === instance)?.links
  }
}
