/** Continuous batching: in each step of a few milliseconds, every running sequence produces one token. */
import type { Sequence, SequenceResult } from './sequence.js'

/** Options of the batch. */
export interface BatchOptions {
  /** Duration of a step, in milliseconds. */
  readonly stepMilliseconds: number
  /** Maximum number of sequences in one step. */
  readonly batchCapacity: number
  /** Maximum number of waiting sequences. */
  readonly queueLimit: number
  /** Number of prompt tokens that one step processes for a sequence. */
  readonly prefillTokensPerStep: number
}

/** Listener for starts and ends of sequences. */
export interface BatchListener {
  /** Called when a sequence starts. @returns the fraction of its prompt that is cached, 0 to 1 */
  started: (sequence: Sequence) => number
  /** Called when a sequence has ended, also one that never started. */
  ended: (sequence: Sequence, result: SequenceResult) => void
}

/** The running and waiting sequences of one engine. */
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
   * @param options - step duration, capacity and queue limit
   * @param listener - listener for starts and ends of sequences
   */
  constructor (options: BatchOptions, listener: BatchListener) {
    this.options = options
    this.stepMilliseconds = options.stepMilliseconds
    this.capacity = options.batchCapacity
    this.listener = listener
  }

  /** @returns the running sequences, including those whose prompt is still being processed */
  get running (): ReadonlySet<Sequence> {
    return this.active
  }

  /** @returns number of waiting sequences */
  get queued (): number {
    return this.waiting.length
  }

  /** Queues a sequence by priority. @returns false when the queue is full */
  submit (sequence: Sequence): boolean {
    const hasCapacity = this.active.size + this.waiting.length < this.capacity + this.options.queueLimit
    if (!hasCapacity) return false
    const position = this.waiting.findIndex((other) => other.request.priority < sequence.request.priority)
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, sequence)
    this.timer ??= setTimeout(() => this.step(), this.stepMilliseconds)
    return true
  }

  /** Ends a running or waiting sequence early. */
  end (sequence: Sequence, result: SequenceResult, reason: string): void {
    const position = this.waiting.indexOf(sequence)
    if (position >= 0) this.waiting.splice(position, 1)
    if (position < 0 && !this.active.delete(sequence)) return
    sequence.finish(result, reason)
    this.listener.ended(sequence, result)
  }

  /** Ends all sequences that match a condition, as lost. @returns their number */
  endAll (reason: string, condition: (sequence: Sequence) => boolean): number {
    const ending = [...this.active, ...this.waiting].filter(condition)
    for (const sequence of ending) this.end(sequence, 'lost', reason)
    return ending.length
  }

  /** @returns the mean fraction of the capacity that steps used since the last call, 0 to 1 */
  takeFill (): number {
    const fill = this.steps === 0 ? 0 : this.usedPlaces / (this.steps * this.capacity)
    this.steps = 0
    this.usedPlaces = 0
    return fill
  }

  /** Stops the steps. */
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
