/** A fleet of instances that tell each other where streams began, under a test's clock and without a network. */
import { silentLogger } from '@limpetwinch/core'
import type { FencingToken, InstanceId } from '@limpetwinch/core'
import type { Endpoint, ServiceName, SoftwareVersion } from '../../src/routes/configuration.js'
import { SoftwareVersions } from '../../src/streams/software-versions.js'
import type { StreamOrigin } from '../../src/streams/stream-origin-table.js'
import { StreamOrigins } from '../../src/streams/stream-origins.js'
import { ManualClock } from './manual-clock.js'
import { endpoint, service } from './samples.js'
import { SimulatedNetwork } from './simulated-links.js'
import type { SimulatedInstance } from './simulated-links.js'

export const SERVICE = 'engines' as ServiceName
/** Time in which the instances connect to each other. */
const CONNECT_MILLISECONDS = 3_000
/** Longer than all questions about one stream take. */
const ANSWER_MILLISECONDS = 400

/** One instance of the fleet. */
export interface StreamingInstance {
  readonly simulated: SimulatedInstance
  readonly versions: SoftwareVersions
  readonly origins: StreamOrigins
  /** Whether the instance provably knows all endpoints. */
  isCurrent: boolean
}

/** The fleet; all its instances see the same endpoints unless a test shows one of them others. */
export class StreamFleet {
  readonly clock = new ManualClock()
  readonly network = new SimulatedNetwork(this.clock)
  instances: StreamingInstance[]
  private versions: readonly string[] = []

  constructor (dataCentres: number, perDataCentre: number) {
    this.network.start(dataCentres, perDataCentre)
    this.instances = this.network.instances.map((simulated) => this.equip(simulated))
  }

  /** Creates a fleet whose instances are connected, before endpoints of the given software versions. */
  static async start (dataCentres: number, perDataCentre: number, ...versions: readonly string[]): Promise<StreamFleet> {
    const fleet = new StreamFleet(dataCentres, perDataCentre)
    fleet.show(...versions)
    await fleet.clock.advance(CONNECT_MILLISECONDS)
    return fleet
  }

  /** Shows all instances one endpoint of each version. */
  show (...versions: readonly string[]): void {
    this.versions = versions
    for (const instance of this.instances) this.showTo(instance, ...versions)
  }

  /** Shows one instance one endpoint of each version; `undefined` is that of an endpoint that states none. */
  showTo ({ versions: known }: StreamingInstance, ...versions: readonly (string | undefined)[]): void {
    known.applyEndpoints(versions.map((version): Endpoint => endpoint(`e-${version}`, { service: SERVICE, softwareVersion: version as SoftwareVersion | undefined })))
  }

  /** Names the software version of an engine to one instance, as the store does; undefined is that of a claim which names none. */
  showLoadOwner ({ versions }: StreamingInstance, version: string | undefined, id = 'gone'): void {
    const engine = version === undefined ? undefined : { service: SERVICE, softwareVersion: version as SoftwareVersion }
    versions.applyLoadOwners([{ endpoint: endpoint(id).id, holder: 'any', previous: undefined, claimedAt: 0, token: 1 as FencingToken, engine }])
  }

  /** Begins a stream at an instance. */
  begin ({ origins }: StreamingInstance, requestId: string, version: string): void {
    origins.begun({ requestId, team: undefined }, { service: SERVICE, softwareVersion: version as SoftwareVersion })
  }

  /** @returns the version at which an instance resumes a stream; undefined when it does not know */
  async resume ({ origins }: StreamingInstance, requestId: string | undefined): Promise<string | undefined> {
    let found: StreamOrigin | undefined
    void origins.find(requestId === undefined ? undefined : { requestId, team: undefined }, service(SERVICE)).then((origin) => { found = origin })
    await this.clock.advance(ANSWER_MILLISECONDS)
    return found?.softwareVersion
  }

  /** @returns the version at which each instance resumes a stream */
  async resumeEverywhere (requestId: string): Promise<(string | undefined)[]> {
    const found: (string | undefined)[] = []
    for (const instance of this.instances) found.push(await this.resume(instance, requestId))
    return found
  }

  /** Kills an instance: what it has sent arrives. */
  kill (killed: StreamingInstance): void {
    this.network.kill(killed.simulated)
    this.instances = this.instances.filter((each) => each !== killed)
  }

  /** Kills an instance and starts another process on its host, which sees the endpoints and knows nothing else. */
  restart (killed: StreamingInstance): StreamingInstance {
    this.kill(killed)
    const started = this.equip(this.network.restart(killed.simulated))
    this.showTo(started, ...this.versions)
    this.instances.push(started)
    return started
  }

  /** Number of frames that all instances have received. */
  get frames (): number {
    return this.instances.reduce((sum, { simulated }) => sum + simulated.links.received, 0)
  }

  /** Ends the tasks of all instances. */
  end (): void {
    this.network.end()
  }

  private equip (simulated: SimulatedInstance): StreamingInstance {
    const { overlay, links, member } = simulated
    const versions = new SoftwareVersions(this.clock)
    const dataCentreOf = (instance: InstanceId): StreamingInstance['simulated']['member']['dataCentre'] | undefined => (
      this.network.instances.find((other) => other.member.instance === instance)?.member.dataCentre
    )
    const origins = new StreamOrigins({
      self: member.instance,
      clock: this.clock,
      logger: silentLogger(),
      metrics: { streamResumed: () => {} },
      versions,
      recorders: () => overlay.usableHubs().flatMap((instance) => {
        const dataCentre = dataCentreOf(instance)
        return dataCentre === undefined ? [] : [{ instance, dataCentre }]
      }),
      ownHub: () => overlay.ownHub,
      isLeaf: (neighbour) => overlay.isLeaf(neighbour),
      notify: (to, frame) => overlay.notify(to, frame),
      areEndpointsCurrent: () => started.isCurrent,
      areAllReachable: () => this.instances.every(({ simulated: other }) => other === simulated || overlay.isReachable(other.member.instance))
    })
    const started: StreamingInstance = { simulated, versions, origins, isCurrent: true }
    origins.connect(links, { onListing: () => {} })
    return started
  }
}
