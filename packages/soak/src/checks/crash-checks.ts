/** Checks of the quarantine of requests that crash the servers that run them. */
import type { StandInRun } from '@limpetwinch/platform'
import type { CrashingPath, SoakRecord } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Number of servers that a request can crash before it is identified as the cause. */
const MAXIMUM_CRASHES = 3
/** The same for a part of prompts. */
const MAXIMUM_PART_CRASHES = 5
/** Time within which all instances learn what one instance knows, and for which a fault of an instance excuses its late runs. */
const PROPAGATION_MILLISECONDS = 3_000
/** Number of runs after the propagation time that are tolerated. */
const MAXIMUM_LATE_RUNS = 3
const QUARANTINED_CODE = 'request_quarantined'

/** Checks that requests that crash servers are quarantined and no longer reach a server. */
export class CrashBudgetCheck extends SoakCheck {
  override readonly promise = 'crash-budget'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    const senders = new Map(record.requests.map(({ request, instance }) => [request.id, { instance, body: request.body }]))
    const servers = [...deployment.engines, ...deployment.webServers]
    return record.crashingPaths.flatMap((crashing) => {
      const runs = servers.flatMap((server) => server.runs)
        .filter(({ path, request }) => path.endsWith(`/${crashing.path}`) && senders.get(request)?.body?.startsWith('crash') === true)
        .sort((one, other) => one.at - other.at)
      const unexcusedRuns = this.lateRuns(crashing, runs).filter((run) => !isExcused(record, run, senders.get(run.request)?.instance))
      if (unexcusedRuns.length <= MAXIMUM_LATE_RUNS) return []
      const times = unexcusedRuns.map(({ at, request }) => `${request} ${at - (runs[0]?.at ?? 0)} ms`).join(', ')
      return [{ message: `${crashing.path} ran ${runs.length} times, ${unexcusedRuns.length} of them too late; times after the first run: ${times}`, from: runs[0]?.at ?? 0, to: unexcusedRuns.at(-1)?.at ?? 0 }]
    })
  }

  private lateRuns ({ crashesAfterMilliseconds }: CrashingPath, runs: readonly StandInRun[]): readonly StandInRun[] {
    const third = runs[MAXIMUM_CRASHES - 1]
    return third === undefined ? [] : runs.filter(({ at }) => at > third.at + crashesAfterMilliseconds + PROPAGATION_MILLISECONDS)
  }
}

/** @returns whether the sending instance was stopped, paused or disconnected shortly before the run and so could not learn of the quarantine */
function isExcused (record: SoakRecord, { at }: StandInRun, instance: string | undefined): boolean {
  return record.faultsDuring(at - PROPAGATION_MILLISECONDS, at, 0).some(({ kind, target }) => kind === 'kill-all-instances' || (target !== undefined && target === instance))
}

/** Checks that requests with a part of prompts that crashes servers no longer reach a server. */
export class PartBudgetCheck extends SoakCheck {
  override readonly promise = 'part-budget'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    const senders = new Map(record.requests.map(({ request, instance }) => [request.id, instance]))
    return record.crashingParts.flatMap(({ part, crashesAfterMilliseconds }) => {
      const runs = deployment.engines.flatMap((engine) => engine.runs).filter(({ promptParts }) => promptParts.slice(0, -1).includes(part)).sort((one, other) => one.at - other.at)
      const last = runs[MAXIMUM_PART_CRASHES - 1]
      if (last === undefined) return []
      const lateRuns = runs.filter((run) => run.at > last.at + crashesAfterMilliseconds + PROPAGATION_MILLISECONDS && !isExcused(record, run, senders.get(run.request)))
      if (lateRuns.length <= MAXIMUM_LATE_RUNS) return []
      const times = lateRuns.map(({ at, request }) => `${request} ${at - (runs[0]?.at ?? 0)} ms`).join(', ')
      return [{ message: `${part} ran ${runs.length} times, ${lateRuns.length} of them too late; times after the first run: ${times}`, from: runs[0]?.at ?? 0, to: lateRuns.at(-1)?.at ?? 0 }]
    })
  }
}

/** Checks that no harmless request is quarantined. */
export class FalseQuarantineCheck extends SoakCheck {
  override readonly promise = 'no-false-blame'

  override violations ({ record }: SoakEvidence): Violation[] {
    return [...record.requests, ...record.probes]
      .filter(({ request, answer }) => answer.text.includes(QUARANTINED_CODE) && request.body?.startsWith('crash') !== true && !record.crashingParts.some(({ part }) => request.promptParts?.includes(part) === true))
      .map((observed) => this.violationOf(observed, `${observed.request.id} was quarantined although it crashes no server`))
  }
}
