/** When each instance ran and could be reached, from what the load tool did to it. */
import type { HistoryEventOf, Recorded } from './events.js'
import { groupBy } from './history.js'
import type { History } from './history.js'

interface TimeSpan {
  readonly from: number
  readonly to: number
}

/** The lives of the instances in a history. */
export class InstanceLifetimes {
  private readonly lifetimes = new Map<string, TimeSpan>()
  private readonly faults: readonly (TimeSpan & { readonly instances: readonly string[] })[]

  /** @param history - a whole history */
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

  /** @returns instances whose start the history holds */
  instances (): string[] {
    return [...this.lifetimes.keys()]
  }

  /**
   * Finds until when an instance has to have taken up something; time under a fault that hits it does not count,
   * since the promise needs a way from the accepting instance to this one.
   *
   * @param instance - the instance
   * @param since - when there was something to take up, wall time
   * @param bound - how long it may take, milliseconds
   * @returns the deadline, or undefined when the instance did not live through it
   */
  reachableDeadline (instance: string, since: number, bound: number): number | undefined {
    const life = this.lifetimes.get(instance)
    if (life === undefined) return undefined
    let deadline = Math.max(since, life.from) + bound
    for (const fault of this.faults) {
      const hits = fault.instances.includes(instance) && fault.to >= deadline - bound && fault.from <= deadline
      if (hits) deadline = fault.to + bound
    }
    return deadline < life.to ? deadline : undefined
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
