/** When each instance ran and could receive settings, derived from what the load tool recorded about instances and faults. */
import type { HistoryEventOf, Recorded } from './events.js'
import { groupBy } from './history.js'
import type { History } from './history.js'

/** A period of time in wall clock milliseconds. */
interface TimeSpan {
  readonly from: number
  readonly to: number
}

/** The lifetimes of the instances in a history, and the faults that affected these instances. */
export class InstanceLifetimes {
  private readonly lifetimes = new Map<string, TimeSpan>()
  private readonly faults: readonly (TimeSpan & { readonly instances: readonly string[] })[]

  /** @param history - a complete history */
  constructor (history: History) {
    const ends = groupBy([
      ...history.of('instance-stop-asked'),
      ...history.of('instance-killed'),
      ...history.of('instance-ended')
    ], (event) => event.instance)
    for (const started of history.of('instance-started')) {
      const to = Math.min(...(ends.get(started.instance) ?? []).map((event) => event.at), Infinity)
      this.lifetimes.set(started.instance, { from: started.at, to })
    }
    this.faults = faultSpans(history.of('fault-started'), history.of('fault-ended'))
  }

  /** @returns ids of the instances whose start is recorded in the history */
  instances (): string[] {
    return [...this.lifetimes.keys()]
  }

  /**
   * Computes the time by which an instance has to have applied a change. A fault that affects the instance within that
   * time moves the deadline to the end of the fault plus the bound, because the promise requires a connection between
   * the accepting instance and this one.
   *
   * @param instance - id of the instance
   * @param since - time when the change was accepted, wall clock milliseconds
   * @param bound - time allowed for applying the change, milliseconds
   * @returns the deadline, or undefined when the instance ended before the deadline or its start is not recorded
   */
  reachableDeadline (instance: string, since: number, bound: number): number | undefined {
    const lifetime = this.lifetimes.get(instance)
    if (lifetime === undefined) return undefined
    let deadline = Math.max(since, lifetime.from) + bound
    for (const fault of this.faults) {
      const affects = fault.instances.includes(instance) && fault.to >= deadline - bound && fault.from <= deadline
      if (affects) deadline = fault.to + bound
    }
    return deadline < lifetime.to ? deadline : undefined
  }
}

function faultSpans (
  starts: readonly Recorded<HistoryEventOf<'fault-started'>>[],
  ends: readonly Recorded<HistoryEventOf<'fault-ended'>>[]
): (TimeSpan & { instances: readonly string[] })[] {
  const endOf = new Map(ends.map((event) => [event.fault, event.at]))
  return starts
    .map((event) => ({ from: event.at, to: endOf.get(event.fault) ?? Infinity, instances: event.instances }))
    .sort((left, right) => left.from - right.from)
}
