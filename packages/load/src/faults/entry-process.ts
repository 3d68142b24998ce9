/** The process of one entry instance in a fault run. Arguments: settings as JSON, name of a mutant or nothing. */
import type { InstanceSettings } from '@limpetwinch/core'
import { createEntry } from './mutants/index.js'

const [settings = '{}', mutant = ''] = process.argv.slice(2)
const entry = createEntry(JSON.parse(settings) as InstanceSettings, mutant === '' ? undefined : mutant)
const listening = await entry.start()
process.stdout.write(`${JSON.stringify({ instance: entry.instance, ...listening })}\n`)
process.once('SIGTERM', () => { void entry.stop().then(() => process.exit(0)) })
// Whoever started it has gone, and nobody else would end it.
process.stdin.on('close', () => process.exit(1)).resume()
