// In a large fleet the digests of an instance are older than an engine takes to read a prompt. Until the next digest, other instances
// take the engine for idle and send their long prompts to the same one.
import { afterEach, describe, expect, it } from 'vitest'
import type { EndpointId } from '@limpetwinch/core'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { WorkDigests } from '../src/routing/work-digests.js'
import { ManualClock } from './support/manual-clock.js'
import { key } from './support/samples.js'
import { SimulatedNetwork } from './support/simulated-links.js'

const ENGINE = 'e' as EndpointId
const LONG = { prefillTokens: 8_000, memoryTokens: 8_100, adapter: key('x') }
const SHORT = { prefillTokens: 300, memoryTokens: 400, adapter: key('x') }

let network: SimulatedNetwork

afterEach(() => network.end())

/** A fleet in which each instance tracks the work of all. */
async function fleet (): Promise<{ trackers: readonly EndpointWorkTracker[], changes: () => number, views: () => number[] }> {
  network = new SimulatedNetwork(new ManualClock())
  network.start(3, 22)
  let received = 0
  const trackers = network.instances.map(({ overlay, links }) => {
    const workTracker = new EndpointWorkTracker()
    const digests = new WorkDigests(overlay, workTracker, () => network.instances.length, network.clock)
    workTracker.onLongPrompt((endpoint) => digests.announce(endpoint))
    links.onNotice('work-changed', (from, frame) => {
      received += 1
      workTracker.applyPeerChange(from, frame, network.clock.now())
    })
    return workTracker
  })
  await network.clock.advance(1_000)
  const views = (): number[] => [...new Set(trackers.map((tracker) => tracker.outstanding(ENGINE, network.clock.now()).prefillTokens))]
  return { trackers, changes: () => received, views }
}

describe('a long prompt in a large fleet', () => {
  it('is known to all instances within the time that its engine takes to read it, and counts once where it was sent', async () => {
    const { trackers, views } = await fleet()
    const ticket = trackers[3]?.begin(ENGINE, LONG)
    await network.clock.advance(100)
    const known = views()
    ticket?.prefilled()
    trackers[3]?.begin(ENGINE, LONG)
    await network.clock.advance(100)
    expect([known, views()]).toEqual([[8_000], [8_000]])
  })

  it('leaves the adapters in use as the last digest said, on which evictions depend', async () => {
    const { trackers } = await fleet()
    const [tracker] = trackers
    const from = network.instances[3]?.member.instance
    if (tracker === undefined || from === undefined) throw new Error('There is no such instance.')
    tracker.applyPeerReport(from, [{ endpoint: ENGINE, requests: 1, prefillTokens: 0, memoryTokens: 0, adapters: [[key('y'), 1, 1]] }], network.clock.now())
    trackers[3]?.begin(ENGINE, LONG)
    await network.clock.advance(100)
    expect([tracker.running(ENGINE, key('y'), network.clock.now()), tracker.outstanding(ENGINE, network.clock.now()).prefillTokens]).toEqual([1, 8_000])
  })

  // A burst of long prompts at all instances would fill the links of small hosts with notices.
  it('is announced only so often, and short prompts are not', async () => {
    const { trackers, changes } = await fleet()
    for (const tracker of trackers) tracker.begin(ENGINE, SHORT)
    await network.clock.advance(100)
    const ofShort = changes()
    for (let passed = 0; passed < 3_000; passed += 50) {
      for (const tracker of trackers) tracker.begin(ENGINE, LONG)
      await network.clock.advance(50)
    }
    const each = changes() / 65
    expect({ ofShort, bounded: each <= 3 * 66 + 150 * 3, some: each >= 150 * 3 }).toEqual({ ofShort: 0, bounded: true, some: true })
  })
})
