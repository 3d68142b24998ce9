/** Asks other instances where a stream began. */
import type { Clock, InstanceId, StreamOriginAnswerFrame } from '@limpetwinch/core'
import type { NoticeFrame } from '@limpetwinch/entry'
import type { ServiceName, SoftwareVersion } from '../routes/configuration.js'
import type { StreamKey, StreamOrigin } from './stream-origin-table.js'

/** Time for which answers are waited for: an instance that has ended without a word gives none, and a caller waits. */
const ANSWER_MILLISECONDS = 150

/** What the questions need of the instance. */
export interface StreamOriginQuestionsDependencies {
  readonly clock: Clock
  readonly notify: (to: InstanceId, frame: NoticeFrame) => void
}

/** What the asked instances know. */
export interface StreamOriginAnswers {
  /** Undefined when none of them knows the stream. */
  readonly origin: StreamOrigin | undefined
  /** Software versions of the service that any of them knows of. */
  readonly softwareVersions: ReadonlySet<SoftwareVersion>
  readonly areComplete: boolean
}

interface OpenQuestion {
  readonly waiting: Set<InstanceId>
  readonly softwareVersions: Set<SoftwareVersion>
  origin: StreamOrigin | undefined
  /** Aborted when nothing more is waited for. */
  readonly answered: AbortController
}

/** The open questions of one instance. */
export class StreamOriginQuestions {
  private readonly parts: StreamOriginQuestionsDependencies
  private readonly open = new Map<number, OpenQuestion>()
  private asked = 0

  constructor (parts: StreamOriginQuestionsDependencies) {
    this.parts = parts
  }

  /** @returns the answers: as soon as one instance knows the stream, all have answered, or the time is over */
  async ask (stream: StreamKey | undefined, service: ServiceName, instances: readonly InstanceId[]): Promise<StreamOriginAnswers> {
    const question: OpenQuestion = { waiting: new Set(instances), softwareVersions: new Set(), origin: undefined, answered: new AbortController() }
    if (instances.length > 0) {
      this.asked += 1
      const number = this.asked
      this.open.set(number, question)
      for (const instance of instances) this.parts.notify(instance, { kind: 'stream-origin-ask', number, stream, service })
      await this.parts.clock.sleep(ANSWER_MILLISECONDS, question.answered.signal)
      this.open.delete(number)
    }
    const { origin, softwareVersions, waiting } = question
    return { origin, softwareVersions, areComplete: waiting.size === 0 }
  }

  /** Handles an answer; a late one is ignored. */
  handleAnswer (from: InstanceId, { number, origin, softwareVersions }: StreamOriginAnswerFrame): void {
    const question = this.open.get(number)
    if (question === undefined || !question.waiting.delete(from)) return
    for (const version of softwareVersions) question.softwareVersions.add(version as SoftwareVersion)
    if (origin !== undefined) question.origin = { service: origin[1] as ServiceName, softwareVersion: origin[2] as SoftwareVersion }
    if (origin !== undefined || question.waiting.size === 0) question.answered.abort()
  }
}
