/** One generation request on the engine, with the streams that read its output. */
import type { GenerateBody } from './engine-bodies.js'
import { AnswerText, countPromptTokens } from './answer-text.js'

/** Result of a sequence. */
export type SequenceResult = 'finished' | 'cancelled' | 'lost'

/** A stream that reads the output of a sequence. */
export interface SequenceReader {
  part: (position: number, text: string) => void
  end: (end: SequenceEnd) => void
  fail: (reason: string) => void
}

/** Content of the last event of a stream. */
export interface SequenceEnd {
  readonly finishReason: 'length' | 'cancelled'
  readonly promptTokens: number
  readonly outputTokens: number
  readonly adapter: string | undefined
}

/** A waiting, running or ended request. */
export class Sequence {
  readonly request: GenerateBody
  readonly run: string
  readonly promptTokens: number
  started = false
  produced = 0
  /** Number of steps until the first token. */
  prefillSteps = 1
  result: SequenceResult | undefined
  endedAt = 0
  private reason = ''
  private readonly text: AnswerText
  private readonly readers = new Set<SequenceReader>()

  /**
   * @param request - the generation request
   * @param run - id of this run
   */
  constructor (request: GenerateBody, run: string) {
    this.request = request
    this.run = run
    this.promptTokens = countPromptTokens(request.prompt)
    this.text = new AnswerText(request)
  }

  /** Adds a stream, which receives all tokens from a position on. */
  read (reader: SequenceReader, from: number): void {
    for (let position = from; position < this.produced; position += 1) reader.part(position, this.text.token(position))
    if (this.result === undefined) {
      this.readers.add(reader)
      return
    }
    this.notifyEnd(reader)
  }

  /** Removes a stream. */
  removeReader (reader: SequenceReader): void {
    this.readers.delete(reader)
  }

  /** Produces the next token. */
  advance (): void {
    const position = this.produced
    const text = this.text.token(position)
    this.produced += 1
    for (const reader of this.readers) reader.part(position, text)
  }

  /** Ends the sequence and notifies its streams. */
  finish (result: SequenceResult, reason = ''): void {
    this.result = result
    this.reason = reason
    this.endedAt = performance.now()
    for (const reader of this.readers) this.notifyEnd(reader)
    this.readers.clear()
  }

  private notifyEnd (reader: SequenceReader): void {
    if (this.result === 'lost') {
      reader.fail(this.reason)
      return
    }
    reader.end({
      finishReason: this.result === 'cancelled' ? 'cancelled' : 'length',
      promptTokens: this.promptTokens,
      outputTokens: this.produced,
      adapter: this.request.adapter
    })
  }
}
