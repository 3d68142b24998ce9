// Guards against instances that are cut off from the endpoints and serve their callers worse than the others, and against what a detour
// could break: connections that go round between instances, an outage of the endpoints that counts as a partition, and detours that stay
// after the cut.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { PathDialler } from '../src/paths/path-dialler.js'
import type { Endpoint } from '../src/routes/configuration.js'
import { PathWorld } from './support/path-world.js'
import type { LinkFailure, PathBehaviour } from './support/path-world.js'

/** Time after the beginning or the end of a cut from which callers must be served as before. */
const STABILITY_MILLISECONDS = 3_000
/** Longest time for opening a connection once a cut is known: one question to another instance, and one more that is needed when that one does not know of its own cut. */
const LONGEST_OPENING_MILLISECONDS = 300

/** Interval between two requests of each instance to each endpoint. */
const TRAFFIC_MILLISECONDS = 400

interface Step {
  /** Instances that are cut off from now on, by their numbers; the others are restored. */
  readonly cut: readonly number[]
  readonly failure: LinkFailure
  /** An instance that ends. */
  readonly killed: number | undefined
  /** An endpoint that ends. */
  readonly stopped: number | undefined
}

interface Plan {
  readonly instances: number
  readonly endpoints: number
  readonly steps: readonly Step[]
  readonly seed: number
}

const step = fc.record({
  cut: fc.uniqueArray(fc.nat(8), { maxLength: 8 }),
  failure: fc.constantFrom<LinkFailure>('refused', 'silent'),
  killed: fc.option(fc.nat(8), { nil: undefined, freq: 4 }),
  stopped: fc.option(fc.nat(5), { nil: undefined, freq: 4 })
})
const plans = fc.record({ instances: fc.integer({ min: 2, max: 9 }), endpoints: fc.integer({ min: 1, max: 6 }), steps: fc.array(step, { minLength: 1, maxLength: 4 }), seed: fc.nat() })

function randomOf (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

async function advance ({ clock }: PathWorld, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 25) await clock.advance(25)
}

function apply (world: PathWorld, { cut, failure, killed, stopped }: Step): void {
  for (const [index, instance] of world.instances.entries()) {
    if (cut.includes(index)) world.cut(instance, failure)
    else world.restore(instance)
  }
  if (killed !== undefined && world.instances.filter(({ isUp }) => isUp).length > 1) world.instances[killed]?.end()
  const endpoint = stopped === undefined ? undefined : world.endpoints[stopped]
  if (endpoint !== undefined) world.stop(endpoint.id, failure)
}

/** Plays a plan. @returns what callers would have noticed, or what must not happen */
async function play ({ instances, endpoints, steps, seed }: Plan, behaviour: Partial<PathBehaviour> = {}): Promise<string[]> {
  const world = new PathWorld(instances, endpoints, randomOf(seed), behaviour)
  const faults: string[] = []
  try {
    for (const [number, each] of steps.entries()) {
      apply(world, each)
      // Callers send all the time, and their requests find the cut; what they meet first may be slow or fail.
      for (const end = world.clock.now() + STABILITY_MILLISECONDS; world.clock.now() < end; await advance(world, TRAFFIC_MILLISECONDS)) await world.openAll()
      for (const path of await world.openAll()) {
        if (path === undefined) faults.push(`step ${number}: an endpoint that another instance reaches was not reached`)
        else if (path.hops > 1) faults.push(`step ${number}: a connection took ${path.hops} hops`)
        else if (path.milliseconds > LONGEST_OPENING_MILLISECONDS) faults.push(`step ${number}: a connection took ${path.milliseconds} ms`)
      }
    }
    for (const instance of world.instances) world.restore(instance)
    await advance(world, STABILITY_MILLISECONDS)
    for (const path of await world.openAll()) if (path?.hops !== 0) faults.push('a detour stayed after the cut')
    for (const { isUp, paths } of world.instances) if (isUp && world.endpoints.some(({ id }) => world.isReachable(id) && paths.isLost(id))) faults.push('a path counted as lost after the cut')
  } finally {
    world.end()
  }
  return faults
}

/** An outage of all endpoints. @returns the services that instances take for reached by others */
async function playOutage (failure: LinkFailure, behaviour: Partial<PathBehaviour> = {}): Promise<string[]> {
  const world = new PathWorld(5, 4, randomOf(7), behaviour)
  for (const { id } of world.endpoints) world.stop(id, failure)
  const opening = world.instances.flatMap((instance) => world.endpoints.map(async ({ id }) => await world.open(instance, id)))
  const unreachable: string[] = []
  for (let checks = 0; checks < STABILITY_MILLISECONDS / TRAFFIC_MILLISECONDS; checks += 1) {
    await advance(world, TRAFFIC_MILLISECONDS)
    unreachable.push(...world.instances.flatMap(({ paths }) => [...paths.updateUnreachableServices()]))
  }
  const opened = await Promise.all(opening)
  world.end()
  return [...unreachable, ...opened.filter((path) => path !== undefined).map(() => 'opened')]
}

/** Takes each failure of its own for a lost path. */
class HastyDialler extends PathDialler {
  override async dial (endpoint: Endpoint, signal: AbortSignal): ReturnType<PathDialler['dial']> {
    const result = await super.dial(endpoint, signal)
    if (result.isErr()) this.parts.paths.recordLost(endpoint.id, 'no connection')
    return result
  }
}

/** Opens connections over its own links only. */
class AloneDialler extends PathDialler {
  override async dial (endpoint: Endpoint, signal: AbortSignal): ReturnType<PathDialler['dial']> {
    return await this.parts.direct.dial(endpoint, signal)
  }
}

describe('a fleet some of whose instances are cut off from the endpoints', () => {
  it('opens connections to all endpoints that any instance reaches, with one hop at most, and directly again after the cut', async () => {
    await fc.assert(fc.asyncProperty(plans, async (plan) => { expect(await play(plan)).toEqual([]) }), { numRuns: 40 })
  })

  it('finds the only instance that reaches the endpoint, although the others do not know yet that they are cut off', async () => {
    const cuts: Step[] = [{ cut: [1], failure: 'refused', killed: undefined, stopped: undefined }, { cut: [4, 2, 0, 3], failure: 'refused', killed: undefined, stopped: undefined }]
    expect(await play({ instances: 5, endpoints: 1, steps: cuts, seed: 0 })).toEqual([])
  })

  it('finds the only instance that reaches the last endpoint of a service', async () => {
    const cuts: Step[] = [{ cut: [], failure: 'refused', killed: undefined, stopped: 0 }, { cut: [], failure: 'refused', killed: undefined, stopped: 1 }, { cut: [2, 1, 0, 3], failure: 'refused', killed: undefined, stopped: undefined }]
    expect(await play({ instances: 5, endpoints: 3, steps: cuts, seed: 0 })).toEqual([])
  })

  // Guards against an endpoint that ended during a cut and counts as cut off ever after, so that its service counts as unreachable.
  it('forgets a lost path to an endpoint that no other instance reaches either', async () => {
    const cuts: Step[] = [{ cut: [6], failure: 'refused', killed: undefined, stopped: undefined }, { cut: [3, 4, 1, 5, 2, 0], failure: 'refused', killed: undefined, stopped: 0 }]
    expect(await play({ instances: 7, endpoints: 2, steps: cuts, seed: 0 })).toEqual([])
  })

  // Guards against an instance that is never asked since it announced that it reaches too few endpoints: half of them ended while it was cut
  // off, and it is the only one that reaches the rest.
  it('asks an instance that reaches few endpoints when no other is left', async () => {
    const cuts: Step[] = [{ cut: [1], failure: 'refused', killed: undefined, stopped: undefined }, { cut: [0], failure: 'refused', killed: undefined, stopped: 0 }]
    expect(await play({ instances: 2, endpoints: 2, steps: cuts, seed: 0 })).toEqual([])
  })

  // Guards against instances that have each other try an ended endpoint again and again, long after the last request for it.
  it('does not go on trying an endpoint that ended', async () => {
    const world = new PathWorld(6, 3, randomOf(3))
    const [ended] = world.endpoints
    if (ended === undefined) throw new Error('there is no endpoint')
    world.stop(ended.id, 'silent')
    const opening = Promise.all(world.instances.map(async (instance) => await world.open(instance, ended.id)))
    await advance(world, STABILITY_MILLISECONDS)
    await opening
    const before = world.trials
    await advance(world, STABILITY_MILLISECONDS)
    world.end()
    expect(world.trials - before).toBe(0)
  })

  // Guards against a sound endpoint that was silent for a moment and then counts as cut off, or gets its connections by detours.
  it('opens direct connections again after an endpoint was silent for a second', async () => {
    const world = new PathWorld(4, 2, randomOf(5))
    const [silent] = world.endpoints
    if (silent === undefined) throw new Error('there is no endpoint')
    world.stop(silent.id, 'silent')
    const during = Promise.all(world.instances.map(async (instance) => await world.open(instance, silent.id)))
    await advance(world, 1_000)
    world.resume(silent.id)
    await during
    const after = await world.openAll()
    world.end()
    expect({ hops: after.map((path) => path?.hops), lost: world.instances.map(({ paths }) => paths.lostCount) })
      .toEqual({ hops: after.map(() => 0), lost: world.instances.map(() => 0) })
  })

  it.each<LinkFailure>(['refused', 'silent'])('does not take an outage of the endpoints for a partition (%s)', async (failure) => {
    expect(await playOutage(failure)).toEqual([])
  })
})

describe('the checks of this test catch', () => {
  const CUT: Plan = { instances: 4, endpoints: 3, steps: [{ cut: [0, 1, 2], failure: 'refused', killed: undefined, stopped: undefined }], seed: 1 }

  it('instances that know no path but their own', async () => {
    expect((await play(CUT, { createDialler: (parts) => new AloneDialler(parts) })).length).toBeGreaterThan(0)
  })

  it('an own failure that counts as a lost path', async () => {
    expect(await playOutage('refused', { createDialler: (parts) => new HastyDialler(parts) })).not.toEqual([])
  })

  it('an instance that carries a connection and takes a detour itself', async () => {
    const world = new PathWorld(4, 1, randomOf(1), { takesSecondDetour: true })
    for (const instance of world.instances.slice(0, 3)) world.cut(instance, 'refused')
    const hops = (await world.openAll()).map((path) => path?.hops ?? 0)
    world.end()
    expect(Math.max(...hops)).toBeGreaterThan(1)
  })
})
