/** Program of the process of one entry instance in a fault run. Arguments: instance settings as JSON, name of a mutant or an empty string. */
import type { InstanceSettings } from '@limpetwinch/core'
import { createEntry } from './mutants/index.js'

const [settings = '{}', mutant = ''] = process.argv.slice(2)
const entry = createEntry(JSON.parse(settings) as InstanceSettings, mutant === '' ? undefined : mutant)
const listening = await entry.start()
process.stdout.write(`${JSON.stringify({ instance: entry.instance, ...listening })}\n`)
process.once('SIGTERM', () => { void entry.stop().then(() => process.exit(0)) })
// Standard input closes when the parent process has ended, and no other process would end this one.
process.stdin.on('close', () => process.exit(1)).resume()
