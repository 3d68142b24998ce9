/** Command `limpetwinch-load bench worker`: one load worker process, which the path bench starts. */
import { Command, Flags } from '@oclif/core'
import { runWorker } from '../../bench/path/run-worker.js'
import { workerSpecSchema } from '../../bench/path/worker-spec.js'

/** Runs one load worker. */
export default class BenchWorker extends Command {
  static override hidden = true
  static override description = 'Run one load worker and print its measurements.'
  static override flags = { spec: Flags.string({ required: true, description: 'specification of the worker, as JSON' }) }

  override async run (): Promise<void> {
    const { flags } = await this.parse(BenchWorker)
    const result = await runWorker(workerSpecSchema.parse(JSON.parse(flags.spec)))
    this.log(JSON.stringify(result))
  }
}
