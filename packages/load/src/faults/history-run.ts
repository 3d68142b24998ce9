/** One fault run from its plan to its history. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryEvent } from '../history/index.js'
import { RecordingCaller } from './caller.js'
import type { LoadRequest } from './caller.js'
import { Deployment } from './deployment.js'
import { SeededRandom } from './random.js'
import type { PlannedFault, PlannedRequest, RunPlan } from './run-plan.js'
import { keyOf, TEAMS } from './sample-deployment.js'

const POLL_INTERVAL_MILLISECONDS = 50
/** How long the end of a run waits for the newest settings; longer than their bound, so that a late one is judged. */
const SETTINGS_TIMEOUT_MILLISECONDS = 5_000

/** Runs one plan. */
export class HistoryRun {
  private readonly plan: RunPlan
  private readonly deployment: Deployment
  private readonly caller: RecordingCaller
  /** Choices made while it runs, such as the instance that a request meets. */
  private readonly random: SeededRandom
  private readonly recordedDigests = new Map<string, string>()
  private ending = false

  /** @param plan - what happens */
  constructor (plan: RunPlan) {
    this.plan = plan
    this.random = new SeededRandom(plan.seed + 1)
    this.deployment = new Deployment(plan.deployment)
    this.caller = new RecordingCaller(this.deployment.callerLog)
  }

  /** @returns the whole history */
  async run (): Promise<HistoryEvent[]> {
    try {
      await this.deployment.start()
      const looking = this.pollSettings()
      await Promise.all([
        ...this.plan.requests.map(async (planned) => await this.sendPlanned(planned)),
        ...this.plan.faults.map(async (planned) => await this.runFault(planned)),
        ...this.plan.changes.map(async ({ after, team }) => {
          await sleep(after)
          await this.deployment.changeTeam(team, '')
        })
      ])
      await this.settle()
      this.ending = true
      await looking
    } finally {
      this.ending = true
      await this.caller.close()
      await this.deployment.close()
    }
    return this.deployment.history()
  }

  private async runFault ({ after, fault }: PlannedFault): Promise<void> {
    await sleep(after)
    await fault.run({ deployment: this.deployment, random: this.random })
  }

  private async sendPlanned ({ after, load, retryAfter: againAfter }: PlannedRequest): Promise<void> {
    await sleep(after)
    const first = this.send(load)
    if (againAfter !== undefined) {
      await sleep(againAfter)
      await this.send({ ...load, request: `${load.request}-again` })
    }
    await first
  }

  private async send (load: LoadRequest): Promise<void> {
    const entries = this.deployment.entries.filter((entry) => entry.receivesRequests)
    if (entries.length === 0) return
    const { instance, caller } = this.random.pick(entries)
    await this.caller.send(load, { instance, caller, key: keyOf(load.team) })
  }

  private async pollSettings (): Promise<void> {
    while (!this.ending) {
      await this.recordSettingsInForce()
      await sleep(POLL_INTERVAL_MILLISECONDS)
    }
  }

  /** Notes which revision each instance shows to callers; one that does not answer now is asked again. */
  private async recordSettingsInForce (): Promise<void> {
    const looks = this.deployment.entries.filter((entry) => entry.receivesRequests).flatMap((entry) => TEAMS.map(async (team) => {
      const inForce = await this.deployment.readSettingsInForce(entry, team).catch(() => undefined)
      const view = `${entry.instance} ${team}`
      if (inForce === undefined || this.recordedDigests.get(view) === inForce.digest) return
      this.recordedDigests.set(view, inForce.digest)
      this.deployment.callerLog.record({ event: 'settings-in-force', path: `/teams/${team}`, instance: entry.instance, ...inForce })
    }))
    await Promise.all(looks)
  }

  private async settle (): Promise<void> {
    const deadline = performance.now() + SETTINGS_TIMEOUT_MILLISECONDS
    while (performance.now() < deadline && !this.allShowLatestSettings()) await sleep(POLL_INTERVAL_MILLISECONDS)
    // One more event after the bound, so that the checker knows that it has passed.
    this.deployment.callerLog.record({ event: 'fault-ended', fault: 'none', kind: 'end-of-run', instances: [] })
  }

  private allShowLatestSettings (): boolean {
    return this.deployment.entries.filter((entry) => entry.receivesRequests).every((entry) => TEAMS.every((team) => {
      const recordedDigests = /^r(\d+)/.exec(this.recordedDigests.get(`${entry.instance} ${team}`) ?? '')
      return Number(recordedDigests?.[1] ?? 0) >= this.deployment.revisionOf(`/teams/${team}`)
    }))
  }
}
