/** Checks of streams that callers take up at other instances while engines run several software versions. */
import { shareThatRuns } from '@limpetwinch/platform'
import type { ResumedStream } from '@limpetwinch/platform'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Checks that no stream holds events of two software versions, in one answer or over its caller's requests, whatever fails. */
export class SoftwareVersionCheck extends SoakCheck {
  override readonly promise = 'one-software-version'

  override violations ({ record }: SoakEvidence): Violation[] {
    return record.streams.filter(({ softwareVersions }) => softwareVersions.size > 1).map((stream) => {
      const requests = stream.requests.map(({ request, answer }) => `${request.id} got ${answer.events.map(({ softwareVersion }) => softwareVersion).join(' ')}`)
      return { message: requests.join('; '), ...spanOf(stream) }
    })
  }
}

/** Checks that streams which callers take up go on nearly as often as new streams begin, as long as no fault took the knowledge of all instances. */
export class ResumptionCheck extends SoakCheck {
  override readonly promise = 'resumed-streams'
  private readonly leastResumptions = 12
  private readonly leastShare = 0.5

  override violations ({ record }: SoakEvidence): Violation[] {
    if (record.faults.some(({ kind }) => kind === 'kill-all-instances')) return []
    const resumptions = record.streams.flatMap((stream) => stream.requestsThat('resume'))
    const beginnings = record.streams.flatMap((stream) => stream.requestsThat('begin'))
    const [resumed, begins] = [shareThatRuns(resumptions), shareThatRuns(beginnings)]
    const [first] = record.streams
    if (first === undefined || resumptions.length < this.leastResumptions || resumed >= this.leastShare * begins) return []
    return [{ message: `${resumed.toFixed(2)} of ${resumptions.length} resumptions went on, ${begins.toFixed(2)} of ${beginnings.length} new streams began`, ...spanOf(first) }]
  }
}

function spanOf ({ requests }: ResumedStream): Pick<Violation, 'from' | 'to' | 'request'> {
  const [first] = requests
  return { from: first?.sentAt ?? 0, to: requests.at(-1)?.endedAt ?? 0, ...(first === undefined ? {} : { request: first.request.id }) }
}
