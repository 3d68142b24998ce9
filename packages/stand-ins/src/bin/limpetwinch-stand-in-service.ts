#!/usr/bin/env node
/** Command that runs the stand-in plain service as a process. */
import { Flags } from '@oclif/core'
import { serviceFaultsSchema, StandInService } from '../service/stand-in-service.js'
import { commonFlags, runBinary, StandInCommand } from './serve-stand-in.js'

class ServiceCommand extends StandInCommand {
  static override description = 'Serves the stand-in plain service, which echoes requests and records those it ran.'

  static override flags = {
    ...commonFlags,
    name: Flags.string({ default: 'service', description: 'endpoint id in history lines' })
  }

  override async run (): Promise<void> {
    const { flags } = await this.parse(ServiceCommand)
    const faults = this.parseFaults(flags.faults, serviceFaultsSchema)
    await this.serve(new StandInService({ name: flags.name, history: flags.history, faults }), flags)
  }
}

await runBinary(ServiceCommand, import.meta.url)
