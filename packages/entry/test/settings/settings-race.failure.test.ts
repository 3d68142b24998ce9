import { afterEach, describe, expect, it } from 'vitest'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import type { SettingsDocument } from '@limpetwinch/core'
import { PATH, put, SettingsDeployment, teamText, until } from './deployment.js'
import type { SettingsInstance } from './deployment.js'

const SEEDS = [1, 2, 3, 4, 5, 6]
const ROUNDS = 25

describe('settings under racing operators and a failing store', () => {
  let deployment = new SettingsDeployment()
  afterEach(async () => {
    await deployment.stop()
    deployment = new SettingsDeployment()
  })

  it.each(SEEDS)('neither loses nor reverts an accepted change, seed %i', async (seed) => {
    // Guards against lost and reverted changes: operators change one path through three instances at once, each based on the
    // revision that its instance shows, while the store loses answers and fails at times and frames between instances are lost.
    // Every accepted change must have its own revision, be based on the one before it, and never be replaced by a lower one.
    const random = generator(seed)
    const store = new MemoryObjectStore()
    const instances = await Promise.all(['one', 'two', 'three'].map(async (name, index) => await deployment.start(name, store, { dataCentre: index === 2 ? 'south' : 'north' })))
    const backwards: string[] = []
    for (const instance of instances) watchForSteps(instance, backwards)
    deployment.drop = () => random() < 0.2
    const accepted: SettingsDocument[] = []
    const refusals = new Set<string>()
    for (let round = 0; round < ROUNDS; round += 1) {
      store.faults.outage = random() < 0.15
      store.faults.loseAnswers = random() < 0.4 ? 1 + Math.floor(random() * 3) : 0
      const results = await Promise.all(instances.map(async (instance, operator) => {
        const seen = instance.follower.document(PATH)?.revision ?? 0
        return await put(instance.writer, `// round ${round}, operator ${operator}, on ${seen}\n${teamText('v1')}`, seen)
      }))
      for (const result of results) result.match((document) => { accepted.push(document) }, (error) => { refusals.add(error.kind) })
    }
    store.faults.outage = false
    store.faults.loseAnswers = 0
    deployment.drop = () => false
    accepted.sort((left, right) => left.revision - right.revision)
    // A write with an unknown result may have been accepted as well. It leaves a gap in the revisions, never a duplicate.
    expect(new Set(accepted.map((document) => document.revision)).size).toBe(accepted.length)
    for (const document of accepted) expect(document.text).toContain(`on ${document.revision - 1}\n`)
    expect(accepted.length).toBeGreaterThan(5)
    expect(refusals).toContain('revision-conflict')
    const last = accepted.at(-1)
    await until(() => instances.every((instance) => instance.follower.settingsHash() === instances[0]?.follower.settingsHash() && (instance.follower.document(PATH)?.revision ?? 0) >= (last?.revision ?? 0)))
    expect(backwards).toEqual([])
    const kept = (await instances[0]!.history.list(PATH))._unsafeUnwrap()
    const known = new Map([...kept, instances[0]!.follower.document(PATH)!].map((document) => [document.revision, document.writeId]))
    for (const document of accepted) if (document.revision > last!.revision - 30) expect(known.get(document.revision)).toBe(document.writeId)
  })
})

/** Records each time that an instance puts a lower revision in force. */
function watchForSteps (instance: SettingsInstance, backwards: string[]): void {
  let before = 0
  instance.follower.onChange(() => {
    const now = instance.follower.revisions().get(PATH) ?? 0
    if (now < before) backwards.push(`${instance.instance}: ${before} to ${now}`)
    before = now
  })
}

/** @returns a seeded generator of random numbers from 0 to below 1 */
function generator (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}
