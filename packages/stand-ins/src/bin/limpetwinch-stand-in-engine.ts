#!/usr/bin/env node
/** The stand-in engine as a process. */
import { Flags } from '@oclif/core'
import { engineFaultsSchema } from '../engine/engine-bodies.js'
import { ENGINE_DEFAULTS } from '../engine/engine-options.js'
import { StandInEngine } from '../engine/stand-in-engine.js'
import { commonFlags, runBinary, StandInCommand } from './serve-stand-in.js'

const DEFAULTS = ENGINE_DEFAULTS

class EngineCommand extends StandInCommand {
  static override description = 'Serves the stand-in engine: continuous batching, few adapter slots, a prefix cache.'

  static override flags = {
    ...commonFlags,
    name: Flags.string({ default: DEFAULTS.name, description: 'endpoint id in history lines' }),
    platform: Flags.string({ description: 'URL of the platform whose weight store loads go through' }),
    'load-milliseconds': Flags.integer({ default: DEFAULTS.loadMilliseconds, min: 0, description: 'duration of a load without a platform' }),
    slots: Flags.integer({ default: DEFAULTS.slots, min: 1, description: 'adapters held at once' }),
    'base-model': Flags.string({ default: DEFAULTS.baseModel, description: 'the one base model' }),
    role: Flags.string({ default: DEFAULTS.role, description: 'role in reports' }),
    fencing: Flags.option({ options: ['refuses', 'ignores'] as const, default: DEFAULTS.fencing, description: 'what is done with an old fencing token' })(),
    'step-milliseconds': Flags.integer({ default: DEFAULTS.stepMilliseconds, min: 1, description: 'duration of a step' }),
    'batch-capacity': Flags.integer({ default: DEFAULTS.batchCapacity, min: 1, description: 'sequences in a step' }),
    'queue-limit': Flags.integer({ default: DEFAULTS.queueLimit, min: 0, description: 'sequences that may wait' }),
    'report-lag': Flags.integer({ default: DEFAULTS.reportLag, min: 0, description: 'milliseconds by which the report is late' }),
    'cache-entries': Flags.integer({ default: DEFAULTS.cacheEntries, min: 0, description: 'prompt prefixes kept' }),
    'cache-event-lag': Flags.integer({ default: DEFAULTS.cacheEventLag, min: 0, description: 'milliseconds by which cache events are late' }),
    'cache-gap-every': Flags.integer({ default: DEFAULTS.cacheGapEvery, min: 0, description: 'of so many cache events one is never published' })
  }

  override async run (): Promise<void> {
    const { flags } = await this.parse(EngineCommand)
    const engine = new StandInEngine({
      name: flags.name,
      platform: flags.platform,
      loadMilliseconds: flags['load-milliseconds'],
      slots: flags.slots,
      baseModel: flags['base-model'],
      role: flags.role,
      fencing: flags.fencing,
      stepMilliseconds: flags['step-milliseconds'],
      batchCapacity: flags['batch-capacity'],
      queueLimit: flags['queue-limit'],
      reportLag: flags['report-lag'],
      cacheEntries: flags['cache-entries'],
      cacheEventLag: flags['cache-event-lag'],
      cacheGapEvery: flags['cache-gap-every'],
      history: flags.history,
      faults: this.parseFaults(flags.faults, engineFaultsSchema)
    })
    await this.serve(engine, flags)
  }
}

await runBinary(EngineCommand, import.meta.url)
