/** The promise that every caller receives the complete response to its own request, in order. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { RequestRecord, History } from '../history.js'
import { adapterOfRun } from './right-adapter-rule.js'

/** The values that determine the text generated for a request. */
export interface GenerationParameters {
  /** `team/adapter@version`, or undefined for the base model. */
  readonly adapter: string | undefined
  readonly prompt: string
  readonly maximumTokens: number
  readonly seed: number | undefined
}

/** Computes the complete response text of a request; the text of the stand-in engine is a pure function of these values. */
export type ComputeAnswer = (generation: GenerationParameters) => string

/**
 * Compares each response with a text computed independently of what instances and engines report. This detects lost,
 * duplicated, swapped and foreign parts.
 */
export class WholeAnswerRule extends HistoryRule {
  override readonly promise = 'whole-answer'
  private readonly answerText: ComputeAnswer

  /** @param answerText - computes the text that endpoints generate */
  constructor (answerText: ComputeAnswer) {
    super()
    this.answerText = answerText
  }

  override check (history: History): Violation[] {
    const hasRuns = history.runs.length > 0
    return history.requests.flatMap((record) => [
      ...this.checkPositions(record),
      ...this.checkText(record),
      ...(hasRuns ? this.checkRan(record, history) : [])
    ])
  }

  private checkPositions (record: RequestRecord): Violation[] {
    return record.parts
      .filter((part, index) => part.position !== index)
      .slice(0, 1)
      .map((part) => this.violation(`request ${record.sent.request} received part ${part.position} out of order`, [record.sent, ...record.parts]))
  }

  private checkText (record: RequestRecord): Violation[] {
    const received = record.parts.map((part) => part.text).join('')
    const possible = this.possibleTexts(record)
    const answered = record.ends.find((ended) => ended.outcome === 'answered')
    if (answered === undefined) {
      // Parts delivered before a failure must still be the start of the response to the caller's own request.
      if (received === '' || possible.some((text) => text.startsWith(received))) return []
      return [this.violation(`request ${record.sent.request} received text that is not its own`, [record.sent, ...record.parts])]
    }
    const complete = answered.text ?? received
    const textMatchesParts = record.parts.length === 0 || complete === received
    if (textMatchesParts && possible.includes(complete)) return []
    return [this.violation(
      `request ${record.sent.request} was answered with a text other than its complete response`,
      [record.sent, ...record.parts, answered]
    )]
  }

  /** @returns the texts of the versions that may have served a request: the named version, or otherwise each version that ran or that the response names */
  private possibleTexts ({ sent, runs, ends }: RequestRecord): string[] {
    if (sent.adapter === undefined) return [sent.prompt]
    const address = `${sent.team}/${sent.adapter}`
    const named = ends.flatMap((ended) => ended.version === undefined ? [] : [`${address}@${ended.version}`])
    const ran = runs.flatMap((run) => adapterOfRun(run.started.adapter) ?? [])
    const adapters = sent.version !== undefined ? [`${address}@${sent.version}`] : [...new Set([...named, ...ran])]
    return adapters.map((adapter) => this.answerText({
      adapter, prompt: sent.prompt, maximumTokens: sent.maximumTokens ?? 0, seed: sent.seed
    }))
  }

  private checkRan (record: RequestRecord, history: History): Violation[] {
    const answered = record.ends.find((ended) => ended.outcome === 'answered')
    if (answered === undefined || record.runs.length > 0) return []
    const { key, team } = record.sent
    const ranUnderKey = key !== undefined &&
      history.requests.some((other) => other.sent.key === key && other.sent.team === team && other.runs.length > 0)
    return ranUnderKey ? [] : [this.violation(`request ${record.sent.request} was answered but ran nowhere`, [record.sent, answered])]
  }
}
