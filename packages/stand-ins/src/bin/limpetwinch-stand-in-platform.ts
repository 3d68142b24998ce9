#!/usr/bin/env node
/** Command that runs the stand-in platform as a process. */
import { Flags } from '@oclif/core'
import { platformFaultsSchema } from '../platform/platform-bodies.js'
import { PLATFORM_DEFAULTS, StandInPlatform } from '../platform/stand-in-platform.js'
import { commonFlags, runBinary, StandInCommand } from './serve-stand-in.js'

class PlatformCommand extends StandInCommand {
  static override description = 'Serves the stand-in platform, with an object API, an instance list and a weight store.'

  static override flags = {
    ...commonFlags,
    'reads-per-second': Flags.integer({ default: PLATFORM_DEFAULTS.readsPerSecond, min: 1, description: 'maximum number of reads and watches per second' }),
    'writes-per-second': Flags.integer({ default: PLATFORM_DEFAULTS.writesPerSecond, min: 1, description: 'maximum number of writes per second' }),
    'loads-per-second': Flags.integer({ default: PLATFORM_DEFAULTS.loadsPerSecond, min: 1, description: 'number of weight transfers per second when one runs at a time' }),
    'list-lag': Flags.integer({ default: PLATFORM_DEFAULTS.listLag, min: 0, description: 'delay of the instance list, in milliseconds' })
  }

  override async run (): Promise<void> {
    const { flags } = await this.parse(PlatformCommand)
    const platform = new StandInPlatform({
      readsPerSecond: flags['reads-per-second'],
      writesPerSecond: flags['writes-per-second'],
      loadsPerSecond: flags['loads-per-second'],
      listLag: flags['list-lag'],
      history: flags.history,
      faults: this.parseFaults(flags.faults, platformFaultsSchema)
    })
    await this.serve(platform, flags)
  }
}

await runBinary(PlatformCommand, import.meta.url)
