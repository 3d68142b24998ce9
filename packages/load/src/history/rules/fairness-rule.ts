/** The promise that no team is favoured beyond its weight while capacity is short. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy } from '../history.js'
import type { History, Run } from '../history.js'

/** A period in which a team had requests waiting. */
interface Backlog {
  readonly started: Recorded<HistoryEventOf<'team-backlog-started'>>
  readonly to: number
}

/**
 * Compares the service of two teams over each period in which both were backlogged. The service of a team is the number
 * of tokens of the runs started in the period, divided by the team's weight. The two may differ at most by the bound.
 */
export class FairnessRule extends HistoryRule {
  override readonly promise = 'fairness'
  private readonly boundTokens: number

  /** @param boundTokens - largest allowed difference between the weighted service of two backlogged teams */
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
        const weightedService = [one, other].map(({ started: { team } }) => serviceOf(runs.get(team) ?? [], from, to) / (weights.get(team) ?? 1))
        const difference = Math.abs(weightedService[0]! - weightedService[1]!)
        if (difference <= this.boundTokens) return []
        return [this.violation(
          `teams ${one.started.team} and ${other.started.team} were backlogged together and their weighted service differs by ${difference} tokens`,
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
  const runsWithTeam = history.requests.flatMap((record) => record.runs.map((run) => ({ team: record.sent.team, run })))
  const groups = groupBy(runsWithTeam, (item) => item.team)
  return new Map([...groups].map(([team, items]) => [team, items.map((item) => item.run)]))
}

function serviceOf (runs: readonly Run[], from: number, to: number): number {
  return runs
    .filter((run) => run.started.at >= from && run.started.at < to)
    .reduce((sum, run) => sum + (run.ended?.tokens ?? 0), 0)
}
