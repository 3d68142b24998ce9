/** Every caller receives the whole answer to its own request, in order. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { RequestRecord, History } from '../history.js'
import { adapterOfRun } from './right-adapter-rule.js'

/** What a request generates. */
export interface GenerationParameters {
  /** `team/adapter@version`, or undefined for the base model. */
  readonly adapter: string | undefined
  readonly prompt: string
  readonly maximumTokens: number
  readonly seed: number | undefined
}

/** Computes the whole answer to a request; the stand-in engine's text is a pure function of this. */
export type ComputeAnswer = (generation: GenerationParameters) => string

/** Computes each answer anew, so that a lost, doubled, swapped or foreign part shows without trust in anyone's word. */
export class WholeAnswerRule extends HistoryRule {
  override readonly promise = 'whole-answer'
  private readonly answerText: ComputeAnswer

  /** @param answerText - the text that endpoints generate */
  constructor (answerText: ComputeAnswer) {
    super()
    this.answerText = answerText
  }

  override check (history: History): Violation[] {
    const endpointsWrote = history.runs.length > 0
    return history.requests.flatMap((view) => [
      ...this.checkPositions(view),
      ...this.checkText(view),
      ...(endpointsWrote ? this.checkRan(view, history) : [])
    ])
  }

  private checkPositions (view: RequestRecord): Violation[] {
    return view.parts
      .filter((part, index) => part.position !== index)
      .slice(0, 1)
      .map((part) => this.violation(`request ${view.sent.request} received part ${part.position} out of order`, [view.sent, ...view.parts]))
  }

  private checkText (view: RequestRecord): Violation[] {
    const received = view.parts.map((part) => part.text).join('')
    const possible = this.possibleTexts(view)
    const answered = view.ends.find((ended) => ended.outcome === 'answered')
    if (answered === undefined) {
      // What was delivered before a failure must still be the start of the caller's own answer.
      if (received === '' || possible.some((text) => text.startsWith(received))) return []
      return [this.violation(`request ${view.sent.request} received text that is not its own`, [view.sent, ...view.parts])]
    }
    const whole = answered.text ?? received
    const sameTwice = view.parts.length === 0 || whole === received
    if (sameTwice && possible.includes(whole)) return []
    return [this.violation(`request ${view.sent.request} was answered with other than its whole text`, [view.sent, ...view.parts, answered])]
  }

  /** The versions that may have answered: the one asked for, or where none was named, those that ran. */
  private possibleTexts ({ sent, runs, ends }: RequestRecord): string[] {
    if (sent.adapter === undefined) return [sent.prompt]
    const address = `${sent.team}/${sent.adapter}`
    const said = ends.flatMap((ended) => ended.version === undefined ? [] : [`${address}@${ended.version}`])
    const ran = runs.flatMap((run) => adapterOfRun(run.started.adapter) ?? [])
    const adapters = sent.version !== undefined ? [`${address}@${sent.version}`] : [...new Set([...said, ...ran])]
    return adapters.map((adapter) => this.answerText({
      adapter, prompt: sent.prompt, maximumTokens: sent.maximumTokens ?? 0, seed: sent.seed
    }))
  }

  private checkRan (view: RequestRecord, history: History): Violation[] {
    const answered = view.ends.find((ended) => ended.outcome === 'answered')
    if (answered === undefined || view.runs.length > 0) return []
    const { key, team } = view.sent
    const ranUnderKey = key !== undefined &&
      history.requests.some((other) => other.sent.key === key && other.sent.team === team && other.runs.length > 0)
    return ranUnderKey ? [] : [this.violation(`request ${view.sent.request} was answered but ran nowhere`, [view.sent, answered])]
  }
}
