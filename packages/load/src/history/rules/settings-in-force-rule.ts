/** The promise that accepted settings are in force on every instance within seconds and never revert to an older revision. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy } from '../history.js'
import type { History } from '../history.js'
import { InstanceLifetimes } from '../instance-lifetimes.js'

type Accepted = Recorded<HistoryEventOf<'settings-accepted'>>
type InForce = Recorded<HistoryEventOf<'settings-in-force'>>

/** Checks that each revision of a path is accepted once and has one text, and that the revision in force on an instance only increases. */
export class SettingsInForceRule extends HistoryRule {
  override readonly promise = 'settings-in-force'
  private readonly boundMilliseconds: number

  /** @param boundMilliseconds - time within which an accepted revision has to be in force on every reachable instance */
  constructor (boundMilliseconds: number) {
    super()
    this.boundMilliseconds = boundMilliseconds
  }

  override check (history: History): Violation[] {
    const lifetimes = new InstanceLifetimes(history)
    return [
      ...this.findReverted(history),
      ...this.findAcceptedTwice(history),
      ...this.findDifferentTexts(history),
      ...this.findLate(history, lifetimes)
    ]
  }

  private findReverted (history: History): Violation[] {
    const views = groupBy(history.of('settings-in-force'), (event) => `${event.instance} ${event.path}`)
    return [...views.values()].flatMap((events) => {
      let latest = events[0]!
      return events.flatMap((event) => {
        const older = event.revision < latest.revision
        const previous = latest
        if (!older) latest = event
        return older
          ? [this.violation(`${event.instance} went back on ${event.path} from revision ${previous.revision} to ${event.revision}`, [previous, event])]
          : []
      })
    })
  }

  private findAcceptedTwice (history: History): Violation[] {
    const registers = groupBy(history.of('settings-accepted'), registerOf)
    return [...registers.values()]
      .filter((events) => events.length > 1)
      .map((events) => this.violation(`${events[0]!.path} accepted revision ${events[0]!.revision} ${events.length} times, so a change was lost`, events))
  }

  private findDifferentTexts (history: History): Violation[] {
    const known = new Map<string, Accepted | InForce>()
    const violations: Violation[] = []
    for (const event of [...history.of('settings-accepted'), ...history.of('settings-in-force')]) {
      if (event.digest === undefined) continue
      const first = known.get(registerOf(event))
      if (first === undefined) known.set(registerOf(event), event)
      else if (first.digest !== event.digest) {
        violations.push(this.violation(`revision ${event.revision} of ${event.path} has two texts`, [first, event]))
      }
    }
    return violations
  }

  private findLate (history: History, lifetimes: InstanceLifetimes): Violation[] {
    const inForce = groupBy(history.of('settings-in-force'), (event) => `${event.instance} ${event.path}`)
    return history.of('settings-accepted').flatMap((accepted) => lifetimes.instances().flatMap((instance) => {
      const deadline = lifetimes.reachableDeadline(instance, accepted.at, this.boundMilliseconds)
      if (deadline === undefined || deadline > history.end) return []
      const views = inForce.get(`${instance} ${accepted.path}`) ?? []
      const onTime = views.some((event) => event.revision >= accepted.revision && event.at <= deadline)
      if (onTime) return []
      return [this.violation(`revision ${accepted.revision} of ${accepted.path} was not in force on ${instance} within ${this.boundMilliseconds} ms`, [accepted, ...views.slice(-1)])]
    }))
  }
}

function registerOf (event: Accepted | InForce): string {
  return `${event.path} ${event.revision}`
}
