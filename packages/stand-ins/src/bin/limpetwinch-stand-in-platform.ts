#!/usr/bin/env node
/** The stand-in platform as a process. */
import { Flags } from '@oclif/core'
import { platformFaultsSchema } from '../platform/platform-bodies.js'
import { PLATFORM_DEFAULTS, StandInPlatform } from '../platform/stand-in-platform.js'
import { commonFlags, runBinary, StandInCommand } from './serve-stand-in.js'

class PlatformCommand extends StandInCommand {
  static override description = 'Serves the stand-in platform: object API, instance list and weight store.'

  static override flags = {
    ...commonFlags,
    'reads-per-second': Flags.integer({ default: PLATFORM_DEFAULTS.readsPerSecond, min: 1, description: 'reads and watches allowed a second' }),
    'writes-per-second': Flags.integer({ default: PLATFORM_DEFAULTS.writesPerSecond, min: 1, description: 'writes allowed a second' }),
    'loads-per-second': Flags.integer({ default: PLATFORM_DEFAULTS.loadsPerSecond, min: 1, description: 'transfers of weights a second, one at a time' }),
    'list-lag': Flags.integer({ default: PLATFORM_DEFAULTS.listLag, min: 0, description: 'milliseconds by which the instance list is late' })
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
