/** The process of one entry instance in a fault run. Arguments: settings as JSON, name of a mutant or nothing. */
import { silentLogger } from '@limpetwinch/core'
import type { InstanceSettings } from '@limpetwinch/core'
import { EntryInstance } from '@limpetwinch/entry'
import { partsOf } from './mutants/index.js'

const [settings = '{}', mutant = ''] = process.argv.slice(2)
const entry = new EntryInstance(JSON.parse(settings) as InstanceSettings, silentLogger(), partsOf(mutant === '' ? undefined : mutant))
const listening = await entry.start()
process.stdout.write(`${JSON.stringify({ instance: entry.instance, ...listening })}\n`)
process.once('SIGTERM', () => { void entry.stop().then(() => process.exit(0)) })
// Whoever started it has gone, and nobody else would end it.
process.stdin.on('close', () => process.exit(1)).resume()
