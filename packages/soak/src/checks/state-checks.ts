/** Checks that changes of the store are in force in time, from what callers and engines see. */
import { IN_FORCE_MILLISECONDS, NEW_VERSION_MILLISECONDS } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Margin around a fault of an instance or of the store within which the fault can still have an effect. */
const FAULT_MARGIN_MILLISECONDS = 3_000

/** Checks that a route that was added is known in time, unless a fault of the store or of an instance was close in time. */
export class AddedRouteCheck extends SoakCheck {
  override readonly promise = 'added-route'

  override violations ({ record }: SoakEvidence): Violation[] {
    const addedAt = new Map(record.addedRoutes.map(({ route, at }) => [route, at]))
    return record.requests.flatMap((observed) => {
      const at = addedAt.get(observed.request.route)
      const { status, text } = observed.answer
      const isUnknown = status === 404 || text.includes('configuration_outdated')
      if (at === undefined || !isUnknown || observed.sentAt < at + IN_FORCE_MILLISECONDS) return []
      if (record.disruptionsDuring(at, observed.sentAt, FAULT_MARGIN_MILLISECONDS).length > 0) return []
      return [this.violationOf(observed, `${observed.request.route} was not known ${observed.sentAt - at} ms after it was added`)]
    })
  }
}

/** Checks that a new adapter version is used in time, unless a fault of the store or of an instance was close in time. */
export class NewVersionCheck extends SoakCheck {
  override readonly promise = 'new-version'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    const runs = deployment.engines.flatMap((engine) => engine.runs)
    return record.announcedVersions.flatMap(({ adapter, version, at }) => runs
      .filter((run) => run.adapter === adapter && (run.version ?? version) < version && run.at > at + NEW_VERSION_MILLISECONDS)
      .filter((run) => record.disruptionsDuring(at, run.at, FAULT_MARGIN_MILLISECONDS).length === 0)
      .map((run) => ({ message: `${run.request} ran on version ${run.version} of ${adapter} ${run.at - at} ms after version ${version} was announced`, from: at, to: run.at, request: run.request })))
  }
}
