// A request crashes endpoints at one instance of a large fleet after the other. The store says nothing: what instances know of it
// they know from each other, over hubs.
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { silentLogger } from '@limpetwinch/core'
import type { DataCentreId } from '@limpetwinch/core'
import { afterEach, beforeAll, describe, expect, it } from 'vitest'
import { IngressMetrics } from '../src/observability/ingress-metrics.js'
import { QuarantineExchange } from '../src/quarantine/quarantine-exchange.js'
import type { RequestQuarantine } from '../src/quarantine/request-quarantine.js'
import type { RoutedRequest } from '../src/relay/routed-request.js'
import { ManualClock } from './support/manual-clock.js'
import { MemoryStore } from './support/memory-store.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'
import { endpoint, route, service } from './support/samples.js'

const DATA_CENTRES = 3
const IN_EACH = 9
const SETTLED_MILLISECONDS = 1_000
/** A crash is found out, told over three hops and judged within this. */
const JUDGED_MILLISECONDS = 1_000
/** A connection falls silent, and another one is made. */
const CUT_MILLISECONDS = 3_000
/** For what goes by the real clock: the probe's connection. */
const PROBED_MILLISECONDS = 30
const ENGINES = 10
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
    world.start(DATA_CENTRES, IN_EACH)
    for (const instance of world.instances) this.equip(instance)
  }

  equip (instance: SimulatedInstance): void {
    const metrics = new IngressMetrics(() => { throw new Error('nobody asks for metrics here') })
    const { quarantine } = new QuarantineExchange({
      self: instance.member.instance,
      clock: world.clock,
      logger: silentLogger(),
      metrics,
      store: new MemoryStore(),
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
    if (found === undefined) throw new Error('There is none.')
    return found
  }

  /** The request comes to an instance and crashes an endpoint, if it is let through. @returns whether it was */
  async come (instance: SimulatedInstance): Promise<boolean> {
    const quarantine = this.quarantines.get(instance)
    if (quarantine === undefined) throw new Error('no quarantine')
    const request = guilty()
    if (quarantine.refusal(request) !== undefined) return false
    const engine = endpoint(`engine-${crashed++}`, { address: closedAddress })
    const admission = quarantine.admit(request, engine.id)
    await this.pass(SETTLED_MILLISECONDS)
    if ((await admission).kind !== 'granted') return false
    quarantine.lost(request, engine, CRASHED_AFTER_MILLISECONDS)
    quarantine.attemptFinished(request)
    await this.pass(JUDGED_MILLISECONDS)
    return true
  }

  /** Lets time pass, also for what is no part of the simulation. */
  async pass (milliseconds: number): Promise<void> {
    for (let part = 0; part < 10; part += 1) {
      await world.clock.advance(milliseconds / 10)
      if (part < 3) await sleep(PROBED_MILLISECONDS)
    }
  }

  /** @returns how many of the instances refuse the request */
  refusing (instances: readonly SimulatedInstance[] = world.instances): number {
    return instances.filter((instance) => instance.links.isUp && this.quarantines.get(instance)?.refusal(guilty()) !== undefined).length
  }
}

function guilty (): RoutedRequest {
  return {
    method: 'POST',
    target: '/draft/guilty',
    route: route(),
    service: service('engines'),
    facts: { requestId: 'any', caller: undefined, adapter: undefined },
    body: Buffer.from('guilty'),
    endsAt: world.clock.now() + 10_000
  } as unknown as RoutedRequest
}

describe('a request that crashes endpoints of a large fleet', () => {
  // Guards against a verdict that leaves or other data centres do not hear of.
  it('is refused by all instances after three crashes at three of them', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const came = [await fleet.come(fleet.at(0, false)), await fleet.come(fleet.at(1, true)), await fleet.come(fleet.at(2, false))]
    expect({ came, refusing: fleet.refusing() }).toEqual({ came: [true, true, true], refusing: DATA_CENTRES * IN_EACH })
    expect(await fleet.come(fleet.at(1, false))).toBe(false)
  })

  // Guards against a data centre that was cut off and goes on crashing its endpoints when it is back.
  it('is refused by a data centre that was cut off meanwhile, once it is connected again', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const away = world.instances.filter(({ member }) => member.dataCentre === 'dc-2')
    world.cut('dc-2' as DataCentreId)
    await fleet.pass(CUT_MILLISECONDS)
    for (const isHub of [true, false, true]) await fleet.come(fleet.at(0, isHub))
    expect({ all: fleet.refusing(), away: fleet.refusing(away) }).toEqual({ all: 2 * IN_EACH, away: 0 })
    world.heal()
    await fleet.pass(CUT_MILLISECONDS)
    expect(fleet.refusing(away)).toBe(IN_EACH)
  })

  // Guards against a data centre that is left alone and goes on until somebody tells it.
  it('is refused by a data centre that is cut off after three crashes of its own', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    world.cut('dc-2' as DataCentreId)
    await fleet.pass(CUT_MILLISECONDS)
    const came: boolean[] = []
    for (const isHub of [true, false, true, false, true]) came.push(await fleet.come(fleet.at(2, isHub)))
    expect(came).toEqual([true, true, true, false, false])
  })

  // Guards against a new process that the store does not answer and that begins with a clean record.
  it('is refused by an instance that starts later, from what its neighbours say', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    for (const isHub of [true, false, true]) await fleet.come(fleet.at(0, isHub))
    const killed = fleet.at(1, false)
    world.kill(killed)
    const started = world.restart(killed)
    fleet.equip(started)
    await fleet.pass(CUT_MILLISECONDS)
    expect(fleet.refusing([started])).toBe(1)
  })

  // Guards against holding an innocent request back for tries that reached nothing: the emptiest endpoint is one that has crashed.
  it('keeps away from endpoints that have crashed and are still listed, and is not held back for tries that reached none', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const here = fleet.at(0, true)
    const quarantine = fleet.quarantines.get(here)
    const before = crashed
    for (let crash = 0; crash < 2; crash += 1) await fleet.come(here)
    expect([...quarantine?.endpointsToAvoid(guilty()) ?? []].sort()).toEqual([`engine-${before}`, `engine-${before + 1}`])
    for (let tries = 0; tries < 5; tries += 1) {
      const request = guilty()
      const admission = quarantine?.admit(request, endpoint('engine').id)
      await fleet.pass(SETTLED_MILLISECONDS)
      expect((await admission)?.kind).toBe('granted')
      quarantine?.attemptFinished(request)
      await fleet.pass(SETTLED_MILLISECONDS)
    }
  })

  // Guards against a digest of each body, of up to a hundred kilobytes, for the sake of one that is suspected.
  it('costs other requests no look at their bodies', async () => {
    const fleet = new Fleet()
    await fleet.pass(SETTLED_MILLISECONDS)
    const here = fleet.at(0, true)
    const quarantine = fleet.quarantines.get(here)
    const unreadable = { length: guilty().body?.length } as unknown as Buffer
    expect(quarantine?.refusal({} as RoutedRequest)).toBeUndefined()
    for (let crash = 0; crash < 3; crash += 1) await fleet.come(here)
    expect(quarantine?.refusal({ ...guilty(), target: '/draft/other', body: unreadable })).toBeUndefined()
    expect(() => quarantine?.refusal({ ...guilty(), body: unreadable })).toThrow()
  })
})
