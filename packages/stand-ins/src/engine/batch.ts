/** Continuous batching: a step every few milliseconds, in which each running sequence gets one token. */
import type { Sequence, SequenceResult } from './sequence.js'

/** How the batch behaves. */
export interface BatchOptions {
  /** Duration of a step, milliseconds. */
  readonly stepMilliseconds: number
  /** Sequences in one step. */
  readonly batchCapacity: number
  /** Sequences that may wait. */
  readonly queueLimit: number
  /** Prompt tokens that a step takes in. */
  readonly prefillTokensPerStep: number
}

/** What the batch tells as sequences go. */
export interface BatchListener {
  /** @returns the share of the prompt that is cached, 0 to 1 */
  started: (sequence: Sequence) => number
  ended: (sequence: Sequence, result: SequenceResult) => void
}

/** The running sequences of one engine and those that wait. */
export class Batch {
  stepMilliseconds: number
  readonly capacity: number
  private readonly options: BatchOptions
  private readonly listener: BatchListener
  private readonly active = new Set<Sequence>()
  private readonly waiting: Sequence[] = []
  private timer: NodeJS.Timeout | undefined
  private steps = 0
  private usedPlaces = 0

  /**
   * @param options - step, capacity, queue
   * @param listener - is told of starts and ends
   */
  constructor (options: BatchOptions, listener: BatchListener) {
    this.options = options
    this.stepMilliseconds = options.stepMilliseconds
    this.capacity = options.batchCapacity
    this.listener = listener
  }

  /** @returns sequences that get a token in each step */
  get running (): ReadonlySet<Sequence> {
    return this.active
  }

  /** @returns how many sequences wait */
  get queued (): number {
    return this.waiting.length
  }

  /** @returns whether the sequence was taken; the queue is bounded */
  submit (sequence: Sequence): boolean {
    const room = this.active.size + this.waiting.length < this.capacity + this.options.queueLimit
    if (!room) return false
    const place = this.waiting.findIndex((other) => other.request.priority < sequence.request.priority)
    this.waiting.splice(place < 0 ? this.waiting.length : place, 0, sequence)
    this.timer ??= setTimeout(() => this.step(), this.stepMilliseconds)
    return true
  }

  /** Ends a sequence early. */
  end (sequence: Sequence, result: SequenceResult, reason: string): void {
    const place = this.waiting.indexOf(sequence)
    if (place >= 0) this.waiting.splice(place, 1)
    if (place < 0 && !this.active.delete(sequence)) return
    sequence.finish(result, reason)
    this.listener.ended(sequence, result)
  }

  /** Ends all sequences of which the condition holds. */
  endAll (reason: string, condition: (sequence: Sequence) => boolean): number {
    const ending = [...this.active, ...this.waiting].filter(condition)
    for (const sequence of ending) this.end(sequence, 'lost', reason)
    return ending.length
  }

  /** @returns the mean share of a step that was used since the last call, 0 to 1 */
  takeFill (): number {
    const fill = this.steps === 0 ? 0 : this.usedPlaces / (this.steps * this.capacity)
    this.steps = 0
    this.usedPlaces = 0
    return fill
  }

  /** Stops stepping. */
  stop (): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  private step (): void {
    const began = performance.now()
    this.admit()
    this.steps += 1
    this.usedPlaces += this.active.size
    for (const sequence of this.active) this.advance(sequence)
    const idle = this.active.size === 0 && this.waiting.length === 0
    const rest = Math.max(0, this.stepMilliseconds - (performance.now() - began))
    this.timer = idle ? undefined : setTimeout(() => this.step(), rest)
  }

  private admit (): void {
    while (this.active.size < this.capacity) {
      const sequence = this.waiting.shift()
      if (sequence === undefined) return
      const cached = this.listener.started(sequence)
      const tokens = sequence.promptTokens * (1 - cached)
      sequence.started = true
      sequence.prefillSteps = Math.max(1, Math.ceil(tokens / this.options.prefillTokensPerStep))
      this.active.add(sequence)
    }
  }

  private advance (sequence: Sequence): void {
    sequence.prefillSteps -= 1
    if (sequence.prefillSteps > 0) return
    sequence.advance()
    if (sequence.produced < sequence.request.maximumTokens) return
    this.active.delete(sequence)
    sequence.finish('finished')
    this.listener.ended(sequence, 'finished')
  }
}
