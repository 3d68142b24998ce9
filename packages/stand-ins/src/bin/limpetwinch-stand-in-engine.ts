#!/usr/bin/env node
/** Command that runs the stand-in engine as a process. */
import { Flags } from '@oclif/core'
import { engineFaultsSchema } from '../engine/engine-bodies.js'
import { ENGINE_DEFAULTS } from '../engine/engine-options.js'
import { StandInEngine } from '../engine/stand-in-engine.js'
import { commonFlags, runBinary, StandInCommand } from './serve-stand-in.js'

const DEFAULTS = ENGINE_DEFAULTS

class EngineCommand extends StandInCommand {
  static override description = 'Serves the stand-in engine, with continuous batching, a few adapter slots and a prefix cache.'

  static override flags = {
    ...commonFlags,
    name: Flags.string({ default: DEFAULTS.name, description: 'endpoint id in history lines' }),
    platform: Flags.string({ description: 'URL of the platform whose weight store provides the weights' }),
    'load-milliseconds': Flags.integer({ default: DEFAULTS.loadMilliseconds, min: 0, description: 'duration of an adapter load without a platform, in milliseconds' }),
    slots: Flags.integer({ default: DEFAULTS.slots, min: 1, description: 'number of adapters that can be loaded at once' }),
    'base-model': Flags.string({ default: DEFAULTS.baseModel, description: 'name of the base model' }),
    role: Flags.string({ default: DEFAULTS.role, description: 'role in reports' }),
    fencing: Flags.option({ options: ['refuses', 'ignores'] as const, default: DEFAULTS.fencing, description: 'whether orders with a stale fencing token are refused or carried out' })(),
    'step-milliseconds': Flags.integer({ default: DEFAULTS.stepMilliseconds, min: 1, description: 'duration of a batch step, in milliseconds' }),
    'batch-capacity': Flags.integer({ default: DEFAULTS.batchCapacity, min: 1, description: 'maximum number of sequences in a batch step' }),
    'queue-limit': Flags.integer({ default: DEFAULTS.queueLimit, min: 0, description: 'maximum number of waiting sequences' }),
    'report-lag': Flags.integer({ default: DEFAULTS.reportLag, min: 0, description: 'delay of the engine report, in milliseconds' }),
    'cache-entries': Flags.integer({ default: DEFAULTS.cacheEntries, min: 0, description: 'maximum number of cached prompt prefixes' }),
    'cache-event-lag': Flags.integer({ default: DEFAULTS.cacheEventLag, min: 0, description: 'delay of cache events, in milliseconds' }),
    'cache-gap-every': Flags.integer({ default: DEFAULTS.cacheGapEvery, min: 0, description: 'one out of this many cache events is never published; 0 publishes all' })
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
