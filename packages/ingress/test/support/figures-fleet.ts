/** A simulated fleet whose instances share what they learn of engines, for tests of load patterns and failures. */
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { EngineSpeeds } from '@limpetwinch/decisions'
import { EngineFigures } from '../../src/engine-figures/engine-figures.js'
import type { EngineFiguresDependencies } from '../../src/engine-figures/engine-figures.js'
import { EndpointWorkTracker } from '../../src/routing/endpoint-work-tracker.js'
import { WorkDigests } from '../../src/routing/work-digests.js'
import { ManualClock } from './manual-clock.js'
import type { RecordedLine } from './recording-logger.js'
import { recordingLogger } from './recording-logger.js'
import { SimulatedNetwork } from './simulated-links.js'
import type { SimulatedInstance } from './simulated-links.js'

type ChangeListener = Parameters<EngineFiguresDependencies['directory']['onChange']>[0]

/** One instance with its view of the engines. */
export interface FiguresInstance extends SimulatedInstance {
  readonly speeds: EngineSpeeds
  readonly figures: EngineFigures
  readonly workTracker: EndpointWorkTracker
  readonly restarted: ChangeListener
}

/** The fleet and the engines, whose load owners are given by `owners`. */
export class FiguresFleet {
  readonly clock = new ManualClock()
  readonly network = new SimulatedNetwork(this.clock)
  readonly instances: FiguresInstance[] = []
  readonly lines: RecordedLine[] = []
  readonly owners = new Map<EndpointId, { readonly instance: InstanceId, readonly token: number }>()
  readonly born = new Map<EndpointId, number>()

  /** Starts the fleet. The load owners of the engines are spread over the instances. */
  async start (dataCentres: number, perDataCentre: number, engines: readonly EndpointId[]): Promise<void> {
    this.network.start(dataCentres, perDataCentre)
    for (const instance of this.network.instances) this.add(instance)
    for (const [index, engine] of engines.entries()) {
      this.born.set(engine, 1)
      const owner = this.instances[index % this.instances.length]
      if (owner !== undefined) this.owners.set(engine, { instance: owner.member.instance, token: 1 })
    }
    await this.clock.advance(1_000)
  }

  /** Starts a new process on the host of an instance that was killed. */
  restart (killed: FiguresInstance): FiguresInstance {
    return this.add(this.network.restart(killed))
  }

  /** Kills an instance. */
  kill (killed: FiguresInstance): void {
    this.network.kill(killed)
    this.instances.splice(this.instances.indexOf(killed), 1)
  }

  /** Restarts an engine under the same id. */
  restartEngine (engine: EndpointId): void {
    this.born.set(engine, (this.born.get(engine) ?? 0) + 1)
    for (const { speeds, restarted } of this.instances) {
      speeds.forget(engine)
      restarted(this.endpoint(engine), 'restarted')
    }
  }

  /** @returns the instances' views of how slow the engine is, each value once, rounded to tenths */
  views (engine: EndpointId): number[] {
    return [...new Set(this.instances.map(({ speeds }) => Math.round(speeds.slowness(engine) * 10) / 10))].sort()
  }

  /** @returns the instance at an index, counted from the end if negative */
  at (index: number): FiguresInstance {
    const instance = this.instances.at(index)
    if (instance === undefined) throw new Error('There is no such instance.')
    return instance
  }

  private add (instance: SimulatedInstance): FiguresInstance {
    const { links, overlay, member } = instance
    const speeds = new EngineSpeeds()
    const workTracker = new EndpointWorkTracker()
    const listeners: ChangeListener[] = []
    const figures = new EngineFigures({
      self: member.instance,
      clock: this.clock,
      logger: recordingLogger(this.lines),
      directory: { find: (id) => this.born.has(id) ? this.endpoint(id) : undefined, onChange: (listener) => { listeners.push(listener) } },
      overlay,
      speeds,
      workTracker,
      digests: new WorkDigests(overlay, workTracker, () => this.instances.length, this.clock),
      members: () => this.instances.length,
      loadOwnerOf: (id) => this.ownerOf(id)?.instance,
      tokenOf: (id) => this.ownerOf(id)?.instance === member.instance ? this.ownerOf(id)?.token as FencingToken : undefined
    })
    figures.connect(links)
    links.onNotice('relay-load', (from, frame) => workTracker.applyPeerReport(from, frame.loads, this.clock.now()))
    const ending = new AbortController()
    void figures.run(ending.signal)
    const added = {
      ...instance,
      speeds,
      figures,
      workTracker,
      restarted: (...change: Parameters<ChangeListener>) => { for (const listener of listeners) listener(...change) },
      stop: () => {
        ending.abort()
        instance.stop()
      }
    }
    this.instances.push(added)
    return added
  }

  private ownerOf (id: EndpointId): { readonly instance: InstanceId, readonly token: number } | undefined {
    const owner = this.owners.get(id)
    return this.instances.some(({ member }) => member.instance === owner?.instance) ? owner : undefined
  }

  private endpoint (id: EndpointId): Parameters<ChangeListener>[0] {
    return { id, born: this.born.get(id) ?? 0 } as Parameters<ChangeListener>[0]
  }
}
