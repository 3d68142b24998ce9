// Guards against a request that crashes one endpoint after another because instances of a large fleet do not learn of the crashes that
// other instances saw. The store is unreachable, so instances learn of crashes and decisions only from each other, over hubs.
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { silentLogger } from '@limpetwinch/core'
import type { DataCentreId } from '@limpetwinch/core'
import { afterEach, beforeAll, describe, expect, it } from 'vitest'
import { IngressMetrics } from '../src/observability/ingress-metrics.js'
import { DirectDialler } from '../src/paths/endpoint-dialler.js'
import { QuarantineExchange } from '../src/quarantine/quarantine-exchange.js'
import type { RequestQuarantine } from '../src/quarantine/request-quarantine.js'
import type { RoutedRequest } from '../src/relay/routed-request.js'
import { ManualClock } from './support/manual-clock.js'
import { MemoryStore } from './support/memory-store.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { endpoint, route, service } from './support/samples.js'

const DATA_CENTRES = 3
const INSTANCES_IN_EACH = 9
const SETTLED_MILLISECONDS = 1_000
/** Time within which a crash is detected, announced over three hops and the decision is made. */
const DECISION_MILLISECONDS = 1_000
/** Time within which lost connections are noticed and new ones are opened. */
const RECONNECT_MILLISECONDS = 3_000
/** Real time that the connection of a probe takes; the simulated clock does not cover it. */
const PROBE_MILLISECONDS = 30
const ENGINES = 10
/** How long the request is in flight when its endpoint crashes. */
const CRASHED_AFTER_MILLISECONDS = 80

let world: SimulatedNetwork
let closedAddress = ''
let crashed = 0

beforeAll(async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  closedAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await new Promise<void>((resolve) => server.close(() => resolve()))
})

afterEach(() => world.end())

/** A fleet with the quarantine of each instance. */
class Fleet {
  readonly quarantines = new Map<SimulatedInstance, RequestQuarantine>()

  constructor () {
    world = new SimulatedNetwork(new ManualClock())
    world.start(DATA_CENTRES, INSTANCES_IN_EACH)
    for (const instance of world.instances) this.equip(instance)
  }

  equip (instance: SimulatedInstance): void {
    const metrics = new IngressMetrics(() => { throw new Error('metrics are not read in this test') })
    const { quarantine } = new QuarantineExchange({
      self: instance.member.instance,
      clock: world.clock,
      logger: silentLogger(),
      metrics,
      store: new MemoryStore(),
      dialler: new DirectDialler(),
      network: instance.links,
      overlay: instance.overlay,
      findEndpoint: (id) => endpoint(id),
      endpointCount: () => ENGINES,
      newestVersion: () => undefined
    })
    this.quarantines.set(instance, quarantine)
  }

  at (dataCentre: number, isHub: boolean): SimulatedInstance {
    const found = world.instances.find(({ member, overlay, links }) => member.dataCentre === `dc-${dataCentre}` && overlay.isHub === isHub && links.isUp)
    if (found === undefined) throw new Error('no such instance')
    return found
  }

  /** Sends the request to an instance; if it is admitted, it crashes an endpoint. @returns whether it was admitted */
  async arrive (instance: SimulatedInstance): Promise<boolean> {
    const quarantine = this.quarantines.get(instance)
    if (quarantine === undefined) throw new Error('no quarantine')
    const request = crashingRequest()
    if (quarantine.refusal(request) !== undefined) return false
    const engine = endpoint(`engine-${crashed++}`, { address: closedAddress })
    const admission = quarantine.admit(request, engine.id)
    await this.pass(SETTLED_MILLISECONDS)
    if ((await admission).kind !== 'granted') return false
    quarantine.lost(request, engine, { milliseconds: CRASHED_AFTER_MILLISECONDS, answerMilliseconds: undefined, response: 'none' })
    quarantine.attemptFinished(request)
    await this.pass(DECISION_MILLISECONDS)
    return true
  }

  /** Advances the simulated clock, and waits in real time for the probes, which are not simulated. */
  async pass (milliseconds: number): Promise<void> {
    for (let part = 0; part < 10; part += 1) {
      await world.clock.advance(milliseconds / 10)
      if (part < 3) await sleep(PROBE_MILLISECONDS)
    }
  }

  /** @returns how many of the instances refuse the request */
  refusing (instances: readonly SimulatedInstance[] = world.instances): number {
    return instances.filter((instance) => instance.links.isUp && this.quarantines.get(instance)?.refusal(crashingRequest()) !== undefined).length
  }
}

function crashingRequest (): RoutedRequest {
  return {
    method: 'POST',
    target: '/draft/guilty',
    route: route(),
    service: service('engines'),
    facts: { requestId: 'any', caller: undefined, adapter: undefined, promptParts: [] },
    body: Buffer.from('guilty'),
    endsAt: world.clock.now() + 10_000
  } as unknown as RoutedRequest
}

describe('a request that crashes endpoints of a large fleet', () => {
  // Guards against a quarantine decision that does not reach leaves or other data centres.
  it('is refused by all instances after three crashes seen by three different instances', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const admitted = [await fleet.arrive(fleet.at(0, false)), await fleet.arrive(fleet.at(1, true)), await fleet.arrive(fleet.at(2, false))]
    expect({ admitted, refusing: fleet.refusing() }).toEqual({ admitted: [true, true, true], refusing: DATA_CENTRES * INSTANCES_IN_EACH })
    expect(await fleet.arrive(fleet.at(1, false))).toBe(false)
  })

  // Guards against a data centre that was unreachable and goes on crashing its endpoints after it is reconnected.
  it('is refused by a data centre that was unreachable meanwhile, once it is reconnected', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const away = world.instances.filter(({ member }) => member.dataCentre === 'dc-2')
    world.cut('dc-2' as DataCentreId)
    await fleet.pass(RECONNECT_MILLISECONDS)
    for (const isHub of [true, false, true]) await fleet.arrive(fleet.at(0, isHub))
    expect({ all: fleet.refusing(), away: fleet.refusing(away) }).toEqual({ all: 2 * INSTANCES_IN_EACH, away: 0 })
    world.heal()
    await fleet.pass(RECONNECT_MILLISECONDS)
    expect(fleet.refusing(away)).toBe(INSTANCES_IN_EACH)
  })

  // Guards against an unreachable data centre that quarantines nothing by itself.
  it('is refused by an unreachable data centre after three crashes of its own', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    world.cut('dc-2' as DataCentreId)
    await fleet.pass(RECONNECT_MILLISECONDS)
    const admitted: boolean[] = []
    for (const isHub of [true, false, true, false, true]) admitted.push(await fleet.arrive(fleet.at(2, isHub)))
    expect(admitted).toEqual([true, true, true, false, false])
  })

  // Guards against a new process that starts without any quarantine state because the store is unreachable.
  it('is refused by an instance that starts later, which learns of it from its neighbours', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    for (const isHub of [true, false, true]) await fleet.arrive(fleet.at(0, isHub))
    const killed = fleet.at(1, false)
    world.kill(killed)
    const started = world.restart(killed)
    fleet.equip(started)
    await fleet.pass(RECONNECT_MILLISECONDS)
    expect(fleet.refusing([started])).toBe(1)
  })

  // Guards against quarantining a harmless request for attempts that reached no endpoint: a crashed endpoint that is still listed is the least loaded one.
  it('avoids crashed endpoints that are still listed, and is not quarantined for attempts that reached no endpoint', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const here = fleet.at(0, true)
    const quarantine = fleet.quarantines.get(here)
    const firstCrash = crashed
    for (let crash = 0; crash < 2; crash += 1) await fleet.arrive(here)
    expect([...quarantine?.endpointsToAvoid(crashingRequest()) ?? []].sort()).toEqual([`engine-${firstCrash}`, `engine-${firstCrash + 1}`])
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const request = crashingRequest()
      const admission = quarantine?.admit(request, endpoint('engine').id)
      await fleet.pass(SETTLED_MILLISECONDS)
      expect((await admission)?.kind).toBe('granted')
      quarantine?.attemptFinished(request)
      await fleet.pass(SETTLED_MILLISECONDS)
    }
  })

  // Guards against hashing the body of every request, up to a hundred kilobytes each, because one request is suspected.
  it('does not cause the bodies of other requests to be read', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const here = fleet.at(0, true)
    const quarantine = fleet.quarantines.get(here)
    const unreadable = { length: crashingRequest().body?.length } as unknown as Buffer
    expect(quarantine?.refusal({} as RoutedRequest)).toBeUndefined()
    for (let crash = 0; crash < 3; crash += 1) await fleet.arrive(here)
    expect(quarantine?.refusal({ ...crashingRequest(), target: '/draft/other', body: unreadable })).toBeUndefined()
    expect(() => quarantine?.refusal({ ...crashingRequest(), body: unreadable })).toThrow()
  })
})
