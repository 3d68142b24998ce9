/** No team is quietly favoured while capacity is short. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy } from '../history.js'
import type { History, Run } from '../history.js'

interface Backlog {
  readonly started: Recorded<HistoryEventOf<'team-backlog-started'>>
  readonly to: number
}

/**
 * Compares the service of two teams over each time in which both were backlogged: tokens of the runs started then,
 * each divided by the team's weight, may differ by the bound and no more.
 */
export class FairnessRule extends HistoryRule {
  override readonly promise = 'fairness'
  private readonly boundTokens: number

  /** @param boundTokens - most by which the weighed service of two backlogged teams may differ */
  constructor (boundTokens: number) {
    super()
    this.boundTokens = boundTokens
  }

  override check (history: History): Violation[] {
    const backlogs = backlogsOf(history)
    const weights = new Map(history.of('team-weight').map((event) => [event.team, event.weight]))
    const runs = runsByTeam(history)
    return backlogs.flatMap((one, index) => backlogs.slice(index + 1)
      .filter((other) => other.started.team !== one.started.team)
      .flatMap((other) => {
        const from = Math.max(one.started.at, other.started.at)
        const to = Math.min(one.to, other.to)
        if (from >= to) return []
        const shares = [one, other].map(({ started: { team } }) => serviceOf(runs.get(team) ?? [], from, to) / (weights.get(team) ?? 1))
        const difference = Math.abs(shares[0]! - shares[1]!)
        if (difference <= this.boundTokens) return []
        return [this.violation(
          `teams ${one.started.team} and ${other.started.team} were backlogged together and their weighed service differs by ${difference} tokens`,
          [one.started, other.started]
        )]
      }))
  }
}

function backlogsOf (history: History): Backlog[] {
  const ends = history.of('team-backlog-ended')
  return history.of('team-backlog-started').map((started) => {
    const ended = ends.find((event) => event.team === started.team && event.at >= started.at)
    return { started, to: ended?.at ?? history.end }
  })
}

function runsByTeam (history: History): Map<string, Run[]> {
  const owned = history.requests.flatMap((view) => view.runs.map((run) => ({ team: view.sent.team, run })))
  const groups = groupBy(owned, (item) => item.team)
  return new Map([...groups].map(([team, items]) => [team, items.map((item) => item.run)]))
}

function serviceOf (runs: readonly Run[], from: number, to: number): number {
  return runs
    .filter((run) => run.started.at >= from && run.started.at < to)
    .reduce((sum, run) => sum + (run.ended?.tokens ?? 0), 0)
}
