/** Command `limpetwinch-load bench check`. */
import { Command } from '@oclif/core'
import { POLICY_BOUNDS } from '../../policy/results/policy-bounds.js'
import { checkPolicy } from '../../policy/results/policy-check.js'
import type { CheckedBound } from '../../policy/results/policy-check.js'

/** Document that `bench check --json` prints. */
export interface CheckDocument {
  readonly bench: 'check'
  readonly bounds: readonly CheckedBound[]
}

/** Fails when a deterministic figure is worse than its committed bound. */
export default class BenchCheck extends Command {
  static override description = 'Compare the deterministic figures of the policies with the committed bounds; exits 1 when a figure is worse.'
  static override enableJsonFlag = true

  override async run (): Promise<CheckDocument> {
    await this.parse(BenchCheck)
    const bounds = checkPolicy(POLICY_BOUNDS)
    for (const bound of bounds) this.log(line(bound))
    if (bounds.some((bound) => !bound.holds)) process.exitCode = 1
    return { bench: 'check', bounds }
  }
}

function line (bound: CheckedBound): string {
  const over = bound.against === 'nothing' ? '' : ` over that of the ${bound.against}`
  const status = bound.holds ? 'holds' : 'WORSE'
  return `${status}  ${bound.trace}, ${bound.policy}: ${bound.figure}${over} ${bound.measured} (${bound.kind} ${bound.bound})`
}
