// Guards every promise against failures of instances and endpoints: real instances run under faults, and what callers,
// endpoints and operators observed is checked. A check that cannot fail proves nothing, so each mutant must be caught by
// the check of the promise that the mutant breaks.
import { describe, expect, it } from 'vitest'
import { Campaign } from '../../src/faults/campaign.js'
import type { CampaignOptions, CampaignReport } from '../../src/faults/campaign.js'
import { FAULTS } from '../../src/faults/kinds/index.js'
import { promiseBrokenBy } from '../../src/faults/mutants/index.js'

/** A busy machine can delay events by any time, so this test checks no time bounds; `npm run check:history` does. */
const UNBOUNDED = { leavingGrace: 600_000, settingsInForce: 600_000, fairness: Infinity }

async function campaign (options: Partial<CampaignOptions>): Promise<CampaignReport> {
  return await new Campaign({
    seed: 1, runs: 1, concurrency: 2, mutant: undefined, kinds: [], stopAtViolation: false, bounds: UNBOUNDED, ...options
  }).run()
}

describe('fault runs', () => {
  it('keep every promise while instances are replaced and endpoints fail', async () => {
    const kinds = FAULTS.filter((fault) => !fault.needsProcesses)
    const report = await campaign({ seed: 20_261_202, runs: 4, kinds })
    expect(report.failed).toEqual([])
    expect(report.violations).toEqual([])
    expect(report.histories).toBe(4)
    expect(report.outcomes['answered']).toBeGreaterThan(0)
  }, 180_000)

  it('keep every promise while processes are killed and paused', async () => {
    const kinds = FAULTS.filter((fault) => fault.needsProcesses)
    const report = await campaign({ seed: 20_261_203, runs: 2, kinds })
    expect(report.failed).toEqual([])
    expect(report.violations).toEqual([])
  }, 180_000)

  it.each([
    'drop-last-part', 'swap-streams', 'route-by-foreign-adapter', 'serve-another-version', 'evict-ignoring-pins',
    'lose-key-holder', 'apply-older-revision'
  ])('catch the mutant %s', async (mutant) => {
    const report = await campaign({ seed: 5, runs: 3, concurrency: 1, mutant, stopAtViolation: true })
    expect(new Set(report.violations.map((violation) => violation.promise))).toContain(promiseBrokenBy(mutant))
  }, 180_000)
})
