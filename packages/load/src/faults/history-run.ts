/** Execution of one fault run: from its plan to its history. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { HistoryEvent } from '../history/index.js'
import { RecordingCaller } from './caller.js'
import type { LoadRequest } from './caller.js'
import { Deployment } from './deployment.js'
import { SeededRandom } from './random.js'
import type { PlannedFault, PlannedRequest, RunPlan } from './run-plan.js'
import { keyOf, TEAMS } from './sample-deployment.js'

/** Interval between reads of the settings that each instance has in force. */
const POLL_INTERVAL_MILLISECONDS = 50
/**
 * How long a run waits at its end for all instances to show the latest settings. This is longer than the bound of the
 * promise, so that the checker detects settings that come into force too late.
 */
const SETTINGS_TIMEOUT_MILLISECONDS = 5_000

/** Executes one run plan. */
export class HistoryRun {
  private readonly plan: RunPlan
  private readonly deployment: Deployment
  private readonly caller: RecordingCaller
  /** Random choices made during the run, such as the instance that receives a request. */
  private readonly random: SeededRandom
  /** Latest recorded digest of the settings in force, by instance and team. */
  private readonly recordedDigests = new Map<string, string>()
  private ending = false

  /** @param plan - the requests, faults and settings changes of the run */
  constructor (plan: RunPlan) {
    this.plan = plan
    this.random = new SeededRandom(plan.seed + 1)
    this.deployment = new Deployment(plan.deployment)
    this.caller = new RecordingCaller(this.deployment.callerLog)
  }

  /** @returns the complete history of the run */
  async run (): Promise<HistoryEvent[]> {
    try {
      await this.deployment.start()
      const polling = this.pollSettings()
      await Promise.all([
        ...this.plan.requests.map(async (planned) => await this.sendPlanned(planned)),
        ...this.plan.faults.map(async (planned) => await this.runFault(planned)),
        ...this.plan.changes.map(async ({ after, team }) => {
          await sleep(after)
          await this.deployment.changeTeam(team, '')
        })
      ])
      await this.awaitLatestSettings()
      this.ending = true
      await polling
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

  private async sendPlanned ({ after, load, retryAfter }: PlannedRequest): Promise<void> {
    await sleep(after)
    const first = this.send(load)
    if (retryAfter !== undefined) {
      await sleep(retryAfter)
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

  /** Records which revision each instance shows to callers. An instance that does not respond is polled again in the next round. */
  private async recordSettingsInForce (): Promise<void> {
    const polls = this.deployment.entries.filter((entry) => entry.receivesRequests).flatMap((entry) => TEAMS.map(async (team) => {
      const inForce = await this.deployment.readSettingsInForce(entry, team).catch(() => undefined)
      const viewKey = `${entry.instance} ${team}`
      if (inForce === undefined || this.recordedDigests.get(viewKey) === inForce.digest) return
      this.recordedDigests.set(viewKey, inForce.digest)
      this.deployment.callerLog.record({ event: 'settings-in-force', path: `/teams/${team}`, instance: entry.instance, ...inForce })
    }))
    await Promise.all(polls)
  }

  private async awaitLatestSettings (): Promise<void> {
    const deadline = performance.now() + SETTINGS_TIMEOUT_MILLISECONDS
    while (performance.now() < deadline && !this.allShowLatestSettings()) await sleep(POLL_INTERVAL_MILLISECONDS)
    // The checker judges a time bound only if the history has an event after the bound.
    this.deployment.callerLog.record({ event: 'fault-ended', fault: 'none', kind: 'end-of-run', instances: [] })
  }

  private allShowLatestSettings (): boolean {
    return this.deployment.entries.filter((entry) => entry.receivesRequests).every((entry) => TEAMS.every((team) => {
      const match = /^r(\d+)/.exec(this.recordedDigests.get(`${entry.instance} ${team}`) ?? '')
      return Number(match?.[1] ?? 0) >= this.deployment.revisionOf(`/teams/${team}`)
    }))
  }
}
