/** Command `limpetwinch-load bench path`. */
import { Command, Flags } from '@oclif/core'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import { BenchDeployment } from '../../bench/path/bench-deployment.js'
import { describeMachine } from '../../bench/path/machine.js'
import { measureMemory } from '../../bench/path/memory-phase.js'
import { PathPhases } from '../../bench/path/path-phases.js'
import { checkAims } from '../../bench/path/path-report.js'
import type { PathReport } from '../../bench/path/path-report.js'

const ENGINES = 2
const ADAPTERS = 3_000

/** Measures the request path of one entry instance. */
export default class BenchPath extends Command {
  static override description = 'Measure one instance in comparison with direct requests to the stand-in engines in the same run: time to first token, rate, processor time and memory.'
  static override enableJsonFlag = true
  static override flags = {
    seconds: Flags.integer({ default: 8, min: 2, description: 'duration of each phase in seconds' }),
    workers: Flags.integer({ default: 2, min: 1, description: 'load worker processes that measure the highest rate' }),
    'output-tokens': Flags.integer({ default: 16, min: 1, description: 'tokens of each answer' }),
    memory: Flags.boolean({ default: true, allowNo: true, description: 'measure memory per configured adapter, which starts three more deployments' }),
    check: Flags.boolean({ default: false, description: 'exit with code 1 when a figure misses its target' })
  }

  override async run (): Promise<PathReport> {
    const { flags } = await this.parse(BenchPath)
    const options = { seconds: flags.seconds, workers: flags.workers, outputTokens: flags['output-tokens'] }
    const machine = await describeMachine()
    const { highestRate, firstToken, processor, bareRelay } = await this.measurePath(options)
    const memory = flags.memory ? this.unwrap(await measureMemory()) : undefined
    const aims = checkAims(firstToken, processor, memory)
    const report = { machine, outputTokens: options.outputTokens, highestRate, firstToken, processor, bareRelay, memory, aims }
    this.print(report)
    if (flags.check && aims.some((aim) => !aim.met)) process.exitCode = 1
    return report
  }

  private async measurePath (options: { seconds: number, workers: number, outputTokens: number }): Promise<Pick<PathReport, 'highestRate' | 'firstToken' | 'processor' | 'bareRelay'>> {
    const deployment = new BenchDeployment()
    try {
      this.unwrap(await deployment.start({ engines: ENGINES, adapters: ADAPTERS }))
      const phases = new PathPhases(deployment, options)
      this.unwrap(await phases.warmUp())
      const highestRate = this.unwrap(await phases.highestRate())
      const { comparison, phase } = this.unwrap(await phases.firstToken(highestRate.requestsPerSecond / 2))
      const processor = this.unwrap(await phases.processorCost(phase))
      const bareRelay = this.unwrap(await phases.relayCost(this.unwrap(await deployment.startRelay()), phase))
      return { highestRate, firstToken: comparison, processor, bareRelay }
    } finally {
      await deployment.stop()
    }
  }

  private unwrap<Value> (result: Result<Value, LimpetwinchError>): Value {
    return result.match((value) => value, (error) => this.error(error.message, { exit: 1 }))
  }

  private print ({ machine, highestRate, firstToken, processor, bareRelay, memory, aims }: PathReport): void {
    this.log(`machine: ${machine.processors} processors at load ${machine.loadAverage.toFixed(1)}, ${machine.socketMicroseconds.toFixed(1)} microseconds for one small socket write and read`)
    this.log(`highest rate ${highestRate.requestsPerSecond.toFixed(0)} requests/s, ${highestRate.tokensPerSecond.toFixed(0)} tokens/s, ${highestRate.entryProcessorShare.toFixed(2)} processors, ${highestRate.failed} failed`)
    this.log(`first token at ${firstToken.requestsPerSecond.toFixed(0)} requests/s: added ${firstToken.added.p50.toFixed(2)} ms p50, ${firstToken.added.p99.toFixed(2)} ms p99, ${firstToken.failed} failed`)
    this.log(`  direct ${firstToken.straight.p50.toFixed(2)} ms p50, ${firstToken.straight.p99.toFixed(2)} ms p99; the load tool was ${firstToken.latenessP99.toFixed(2)} ms late at p99`)
    this.log(`processor ${processor.microsecondsPerRequest.toFixed(0)} microseconds/request, ${processor.microsecondsPerToken.toFixed(1)} microseconds/token`)
    this.log(`  a bare relay: ${bareRelay.microsecondsPerRequest.toFixed(0)} microseconds/request, ${bareRelay.microsecondsPerToken.toFixed(1)} microseconds/token`)
    if (memory !== undefined) this.log(`memory ${memory.bytesPerAdapter.toFixed(0)} bytes/adapter`)
    for (const aim of aims) this.log(`${aim.met ? 'met   ' : 'MISSED'} ${aim.figure}: ${aim.measured.toFixed(2)} (aim ${aim.aim})`)
  }
}
