#!/usr/bin/env node
/** The program that runs one entry instance until it receives SIGTERM or SIGINT. */
import { readFileSync } from 'node:fs'
import { Command, flush, Flags, handle } from '@oclif/core'
import { createLogger, INSTANCE_SETTINGS_OVERRIDES, LimpetwinchError, loadInstanceSettings } from '@limpetwinch/core'
import type { InstanceSettings } from '@limpetwinch/core'
import { EntryInstance } from '../entry-instance.js'

/** Exit code when the settings or the environment are refused. */
const EXIT_USAGE = 2
/** Exit code when requests were cut off because the stop timeout had passed. */
const EXIT_CUT_OFF = 3

const overrideFlags = Object.fromEntries(INSTANCE_SETTINGS_OVERRIDES.map(({ flag, place }) =>
  [flag, Flags.string({ description: `overrides ${place.join('.')} of the settings file` })]))

/** The only command of the binary. */
class EntryCommand extends Command {
  static override description = 'Runs one entry instance of limpetwinch.'

  static override flags = {
    ...overrideFlags,
    settings: Flags.string({ required: true, env: 'LIMPETWINCH_SETTINGS', description: 'settings file of this instance, in JSON with comments' })
  }

  override async run (): Promise<void> {
    if (process.env.UV_USE_IO_URING === '1') this.refuse(new LimpetwinchError('forbidden-environment'))
    const settings = await this.readSettings()
    const entry = new EntryInstance(settings, createLogger(settings.logs.format, settings.logs.level))
    const listening = await entry.start()
    process.stdout.write(`${JSON.stringify({ listening, instance: entry.instance, dataCentre: entry.dataCentre })}\n`)
    stopOnSignal(entry)
  }

  private async readSettings (): Promise<InstanceSettings> {
    const { flags } = await this.parse(EntryCommand)
    const { settings: file, ...overrides } = flags
    const text = readFileSync(file, 'utf8')
    return loadInstanceSettings(text, process.env, overrides as Record<string, string | undefined>)
      .match((settings) => settings, (error) => this.refuse(error))
  }

  private refuse (error: LimpetwinchError): never {
    this.error(error.message, { exit: EXIT_USAGE })
  }
}

/** Stops the instance gracefully on SIGTERM and SIGINT. The exit code tells whether requests were cut off. */
function stopOnSignal (entry: EntryInstance): void {
  let stopping = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (stopping) return
      stopping = true
      void entry.stop().then((cut) => process.exit(cut === 0 ? 0 : EXIT_CUT_OFF))
    })
  }
}

try {
  await EntryCommand.run(process.argv.slice(2), import.meta.url)
  await flush()
} catch (error) {
  await handle(error as Error)
}
