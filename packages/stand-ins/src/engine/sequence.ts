/** One request on the engine, with the streams that read it. */
import type { GenerateBody } from './engine-bodies.js'
import { AnswerText, countPromptTokens } from './answer-text.js'

/** How a request left the engine. */
export type SequenceResult = 'finished' | 'cancelled' | 'lost'

/** One stream that reads a sequence. */
export interface SequenceReader {
  part: (position: number, text: string) => void
  end: (end: SequenceEnd) => void
  fail: (reason: string) => void
}

/** What the last event of a stream tells. */
export interface SequenceEnd {
  readonly finishReason: 'length' | 'cancelled'
  readonly promptTokens: number
  readonly outputTokens: number
  readonly adapter: string | undefined
}

/** A request that waits, runs or has ended. */
export class Sequence {
  readonly request: GenerateBody
  readonly run: string
  readonly promptTokens: number
  started = false
  produced = 0
  /** Steps until the first token. */
  prefillSteps = 1
  result: SequenceResult | undefined
  endedAt = 0
  private reason = ''
  private readonly text: AnswerText
  private readonly readers = new Set<SequenceReader>()

  /**
   * @param request - what is asked
   * @param run - id of this run
   */
  constructor (request: GenerateBody, run: string) {
    this.request = request
    this.run = run
    this.promptTokens = countPromptTokens(request.prompt)
    this.text = new AnswerText(request)
  }

  /** Adds a stream, which gets all tokens from a position on. */
  read (reader: SequenceReader, from: number): void {
    for (let position = from; position < this.produced; position += 1) reader.part(position, this.text.token(position))
    if (this.result === undefined) {
      this.readers.add(reader)
      return
    }
    this.notifyEnd(reader)
  }

  /** Takes a stream away. */
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

  /** Ends the sequence and tells its streams. */
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
