/** The phases of the path bench that send load to one instance. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MetricsSummary } from '../../driving/load-metrics.js'
import type { BenchDeployment } from './bench-deployment.js'
import { LOADED_MODELS } from './bench-settings.js'
import { runWorkers } from './load-workers.js'
import { solveCost } from './path-report.js'
import type { FirstTokenComparison, HighestRate, ProcessorCost, ProcessorPhase } from './path-report.js'
import type { WorkerResult, WorkerSpec } from './worker-spec.js'

/** Amount and duration of the load. */
export interface PhaseOptions {
  readonly seconds: number
  readonly workers: number
  readonly outputTokens: number
}

/** Reads the processor time that a process has used. */
type ReadUsage = () => Promise<{ readonly at: number, readonly processorMicroseconds: number }>

interface MeasuredLoad {
  readonly results: readonly WorkerResult[]
  /** Processor microseconds of the measured process per second of wall time. */
  readonly microsecondsPerSecond: number
  readonly seconds: number
}

const SEED = 1
const PROMPT_TOKENS = 64
const CALLERS = 128
/** Duration of the warm-up: until the JIT compiler has optimised the whole path, figures are several times worse. */
const WARM_UP_SECONDS = 8
const IDLE_SECONDS = 3
/** Factor by which responses of the second phase are longer and requests fewer. */
const LONG_ANSWER_FACTOR = 8
/** Rate of the direct requests to the engines as a share of the rate through the instance. */
const STRAIGHT_RATE_SHARE = 0.5
const MICROSECONDS_PER_SECOND = 1_000_000

/** Runs the phases against a started deployment. */
export class PathPhases {
  private readonly deployment: BenchDeployment
  private readonly options: PhaseOptions

  /**
   * @param deployment - a started deployment
   * @param options - amount and duration of the load
   */
  constructor (deployment: BenchDeployment, options: PhaseOptions) {
    this.deployment = deployment
    this.options = options
  }

  /** Loads the adapters and lets the JIT compiler optimise the path. */
  async warmUp (): Promise<Result<void, LimpetwinchError>> {
    const spec = this.spec({ mode: 'closed', callers: CALLERS }, this.options.outputTokens, WARM_UP_SECONDS)
    return (await runWorkers([spec])).map(() => undefined)
  }

  /** @returns the rate that the instance reaches under a closed loop of many callers */
  async highestRate (): Promise<Result<HighestRate, LimpetwinchError>> {
    const { workers, outputTokens } = this.options
    const specs = Array.from({ length: workers }, (_, index) => ({
      ...this.spec({ mode: 'closed', callers: Math.ceil(CALLERS / workers) }, outputTokens), seed: SEED + index
    }))
    return (await this.measure(specs)).map(({ results, microsecondsPerSecond }) => {
      const summaries = results.map((result) => result.through)
      const answered = sum(summaries, (summary) => summary.outcomes.answered ?? 0)
      return {
        requestsPerSecond: answered / this.options.seconds,
        tokensPerSecond: sum(summaries, (summary) => summary.tokens) / this.options.seconds,
        entryProcessorShare: microsecondsPerSecond / MICROSECONDS_PER_SECOND,
        failed: sum(summaries, failedOf)
      }
    })
  }

  /** @returns the times to the first token through the instance and directly, and the processor phase of this load */
  async firstToken (requestsPerSecond: number): Promise<Result<{ comparison: FirstTokenComparison, phase: ProcessorPhase }, LimpetwinchError>> {
    const load = { mode: 'open' as const, throughRate: requestsPerSecond, straightRate: requestsPerSecond * STRAIGHT_RATE_SHARE }
    return (await this.measure([this.spec(load, this.options.outputTokens)])).map((measured) => {
      const through = measured.results.map((result) => result.through)
      const [first] = measured.results
      if (first === undefined) throw new Error('The load worker returned no result.')
      const { through: limpetwinch, straight } = first
      return {
        phase: phaseOf(measured),
        comparison: {
          requestsPerSecond: limpetwinch.requests / this.options.seconds,
          through: limpetwinch.firstToken,
          straight: straight.firstToken,
          added: {
            p50: limpetwinch.firstToken.p50 - straight.firstToken.p50,
            p99: limpetwinch.firstToken.p99 - straight.firstToken.p99
          },
          latenessP99: limpetwinch.lateness.p99,
          failed: sum(through, failedOf) + failedOf(straight)
        }
      }
    })
  }

  /**
   * @param many - the phase with many short responses
   * @returns the processor time per request and per token
   */
  async processorCost (many: ProcessorPhase): Promise<Result<ProcessorCost, LimpetwinchError>> {
    const idleMicrosecondsPerSecond = await this.idleMicrosecondsPerSecond()
    const load = { mode: 'open' as const, throughRate: many.requestsPerSecond / LONG_ANSWER_FACTOR, straightRate: 0 }
    const measured = await this.measure([this.spec(load, this.options.outputTokens * LONG_ANSWER_FACTOR)])
    if (measured.isErr()) return err(measured.error)
    const few = phaseOf(measured.value)
    return ok({ ...solveCost(many, few, idleMicrosecondsPerSecond), idleShare: idleMicrosecondsPerSecond / MICROSECONDS_PER_SECOND, phases: [many, few] })
  }

  /**
   * Sends the same load to a relay that only forwards bytes.
   *
   * @param relay - a started relay
   * @param many - the phase with many short responses through limpetwinch
   * @returns the processor time of the relay per request and per token
   */
  async relayCost (relay: { readonly url: string, readonly usage: ReadUsage }, many: ProcessorPhase): Promise<Result<ProcessorCost, LimpetwinchError>> {
    const { outputTokens } = this.options
    const warm = { mode: 'open' as const, throughRate: 0, straightRate: many.requestsPerSecond }
    const warmed = await runWorkers([{ ...this.spec(warm, outputTokens, WARM_UP_SECONDS), engines: [relay.url] }])
    if (warmed.isErr()) return err(warmed.error)
    const idleMicrosecondsPerSecond = await this.idleMicrosecondsPerSecond(relay.usage)
    const phases: ProcessorPhase[] = []
    for (const factor of [1, LONG_ANSWER_FACTOR]) {
      const load = { mode: 'open' as const, throughRate: 0, straightRate: many.requestsPerSecond / factor }
      const measured = await this.measure([{ ...this.spec(load, outputTokens * factor), engines: [relay.url] }], relay.usage)
      if (measured.isErr()) return err(measured.error)
      phases.push(phaseOf(measured.value, 'straight'))
    }
    const [short, long] = phases as [ProcessorPhase, ProcessorPhase]
    return ok({ ...solveCost(short, long, idleMicrosecondsPerSecond), idleShare: idleMicrosecondsPerSecond / MICROSECONDS_PER_SECOND, phases })
  }

  private readonly entryUsage: ReadUsage = async () => await this.deployment.usage()

  private async idleMicrosecondsPerSecond (usage = this.entryUsage): Promise<number> {
    const before = await usage()
    await sleep(IDLE_SECONDS * 1000)
    const after = await usage()
    return (after.processorMicroseconds - before.processorMicroseconds) / (after.at - before.at) * 1000
  }

  private async measure (specs: readonly WorkerSpec[], usage = this.entryUsage): Promise<Result<MeasuredLoad, LimpetwinchError>> {
    const before = await usage()
    const results = await runWorkers(specs)
    const after = await usage()
    // The measured process is idle while workers start, so its time is divided by the duration of the load only.
    const processor = after.processorMicroseconds - before.processorMicroseconds
    return results.map((all) => ({ results: all, microsecondsPerSecond: processor / this.options.seconds, seconds: this.options.seconds }))
  }

  private spec (load: WorkerSpec['load'], outputTokens: number, seconds = this.options.seconds): WorkerSpec {
    return {
      entry: this.deployment.caller,
      key: this.deployment.callerKey.key,
      engines: [...this.deployment.engines],
      models: [...LOADED_MODELS],
      seed: SEED,
      seconds,
      promptTokens: PROMPT_TOKENS,
      outputTokens,
      load
    }
  }
}

function phaseOf ({ results, microsecondsPerSecond, seconds }: MeasuredLoad, path: keyof WorkerResult = 'through'): ProcessorPhase {
  const summaries = results.map((result) => result[path])
  return {
    requestsPerSecond: sum(summaries, (summary) => summary.requests) / seconds,
    tokensPerSecond: sum(summaries, (summary) => summary.tokens) / seconds,
    microsecondsPerSecond
  }
}

function failedOf (summary: MetricsSummary): number {
  return summary.requests - (summary.outcomes.answered ?? 0)
}

function sum<Item> (items: readonly Item[], valueOf: (item: Item) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0)
}
