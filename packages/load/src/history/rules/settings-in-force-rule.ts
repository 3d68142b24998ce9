/** Once settings are accepted they are in force everywhere within seconds and never revert to older ones. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy } from '../history.js'
import type { History } from '../history.js'
import { InstanceLifetimes } from '../instance-lifetimes.js'

type Accepted = Recorded<HistoryEventOf<'settings-accepted'>>
type InForce = Recorded<HistoryEventOf<'settings-in-force'>>

/** Reads each path as a register by revision: one text for a revision, and each instance's view only grows. */
export class SettingsInForceRule extends HistoryRule {
  override readonly promise = 'settings-in-force'
  private readonly boundMilliseconds: number

  /** @param boundMilliseconds - how soon an accepted revision has to be in force on every reachable instance */
  constructor (boundMilliseconds: number) {
    super()
    this.boundMilliseconds = boundMilliseconds
  }

  override check (history: History): Violation[] {
    const lives = new InstanceLifetimes(history)
    return [
      ...this.findReverted(history),
      ...this.findAcceptedTwice(history),
      ...this.findDifferentTexts(history),
      ...this.late(history, lives)
    ]
  }

  private findReverted (history: History): Violation[] {
    const views = groupBy(history.of('settings-in-force'), (event) => `${event.instance} ${event.path}`)
    return [...views.values()].flatMap((events) => {
      let newest = events[0]!
      return events.flatMap((event) => {
        const older = event.revision < newest.revision
        const before = newest
        if (!older) newest = event
        return older ? [this.violation(`${event.instance} went back on ${event.path} from revision ${before.revision} to ${event.revision}`, [before, event])] : []
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

  private late (history: History, lives: InstanceLifetimes): Violation[] {
    const inForce = groupBy(history.of('settings-in-force'), (event) => `${event.instance} ${event.path}`)
    return history.of('settings-accepted').flatMap((accepted) => lives.instances().flatMap((instance) => {
      const deadline = lives.reachableDeadline(instance, accepted.at, this.boundMilliseconds)
      if (deadline === undefined || deadline > history.end) return []
      const views = inForce.get(`${instance} ${accepted.path}`) ?? []
      const inTime = views.some((event) => event.revision >= accepted.revision && event.at <= deadline)
      if (inTime) return []
      return [this.violation(`revision ${accepted.revision} of ${accepted.path} was not in force on ${instance} within ${this.boundMilliseconds} ms`, [accepted, ...views.slice(-1)])]
    }))
  }
}

function registerOf (event: Accepted | InForce): string {
  return `${event.path} ${event.revision}`
}
