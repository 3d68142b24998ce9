/** Promises about requests that crash the servers that run them. */
import type { StandInRun } from '@limpetwinch/platform'
import type { CrashingPath, SoakRecord } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Servers that one request may crash before it counts as the cause. */
const MAXIMUM_CRASHES = 3
/** What one instance knows has reached all within this; what an instance was through shortly before still tells. */
const PROPAGATION_MILLISECONDS = 3_000
const MAXIMUM_LATE_RUNS = 3
const QUARANTINED_CODE = 'request_quarantined'

/** A request that crashes servers stops reaching them. */
export class CrashBudgetCheck extends SoakCheck {
  override readonly promise = 'crash-budget'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    const senders = new Map(record.requests.map(({ request, instance }) => [request.id, { instance, body: request.body }]))
    const servers = [...deployment.engines, ...deployment.webServers]
    return record.crashingPaths.flatMap((crashing) => {
      const runs = servers.flatMap((server) => server.runs)
        .filter(({ path, request }) => path.endsWith(`/${crashing.path}`) && senders.get(request)?.body?.startsWith('crash') === true)
        .sort((one, other) => one.at - other.at)
      const late = this.lateRuns(crashing, runs).filter((run) => !this.isExcused(record, run, senders.get(run.request)?.instance))
      if (late.length <= MAXIMUM_LATE_RUNS) return []
      const times = late.map(({ at, request }) => `${request} ${at - (runs[0]?.at ?? 0)} ms`).join(', ')
      return [{ message: `${crashing.path} ran ${runs.length} times, ${late.length} of them late after its first: ${times}`, from: runs[0]?.at ?? 0, to: late.at(-1)?.at ?? 0 }]
    })
  }

  private lateRuns ({ crashesAfterMilliseconds }: CrashingPath, runs: readonly StandInRun[]): readonly StandInRun[] {
    const third = runs[MAXIMUM_CRASHES - 1]
    return third === undefined ? [] : runs.filter(({ at }) => at > third.at + crashesAfterMilliseconds + PROPAGATION_MILLISECONDS)
  }

  /** An instance that was ended, paused or cut off a moment before cannot have heard. */
  private isExcused (record: SoakRecord, { at }: StandInRun, instance: string | undefined): boolean {
    return record.faultsDuring(at - PROPAGATION_MILLISECONDS, at, 0).some(({ kind, target }) => kind === 'kill-all-instances' || (target !== undefined && target === instance))
  }
}

/** No request is held back that crashes nothing. */
export class FalseQuarantineCheck extends SoakCheck {
  override readonly promise = 'no-false-blame'

  override violations ({ record }: SoakEvidence): Violation[] {
    return [...record.requests, ...record.probes]
      .filter(({ request, answer }) => answer.text.includes(QUARANTINED_CODE) && request.body?.startsWith('crash') !== true)
      .map((seen) => this.violationOf(seen, `${seen.request.id} was held back and crashes nothing`))
  }
}
