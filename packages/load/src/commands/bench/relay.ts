/** Command `limpetwinch-load bench relay`: the bare relay as a process, which the path bench starts. */
import { Command, Flags } from '@oclif/core'
import { BareRelay } from '../../bench/path/bare-relay.js'

/** Runs the bare relay. */
export default class BenchRelay extends Command {
  static override hidden = true
  static override description = 'Forward requests to one engine without any other processing.'
  static override flags = { engine: Flags.string({ required: true, description: 'URL of the engine' }) }

  override async run (): Promise<void> {
    const { flags } = await this.parse(BenchRelay)
    const relay = new BareRelay(flags.engine)
    this.log(JSON.stringify({ listening: await relay.listen() }))
    await new Promise<void>((resolve) => { process.once('SIGTERM', resolve) })
    await relay.close()
  }
}
