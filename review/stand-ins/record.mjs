/** The record of a case: one line for each thing that was sent, answered or run, with the time since its start. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Collects lines and writes them to `record.txt` in the folder of the case. */
export class Record {
  constructor (folder) {
    this.file = join(folder, 'record.txt')
    this.lines = []
    this.startedAt = performance.now()
  }

  /** Milliseconds since the start of the case. */
  now () {
    return Math.round(performance.now() - this.startedAt)
  }

  add (text, details = {}) {
    this.lines.push(`${String(this.now()).padStart(6)} ms  ${text}${Object.keys(details).length === 0 ? '' : ` ${JSON.stringify(details)}`}`)
  }

  write () {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`)
  }
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param folder - folder of the case
 * @param run - returns what broke the rule, a list of texts
 */
export async function runCase (folder, run) {
  const record = new Record(folder)
  const isTroubled = process.env.TROUBLE !== '0'
  record.add(isTroubled ? 'with the disruption' : 'without the disruption')
  let status = 2
  try {
    const broken = await run(record, isTroubled)
    for (const each of broken) record.add(`BROKEN: ${each}`)
    if (broken.length === 0) record.add('The rule held.')
    status = broken.length === 0 ? 0 : 1
  } catch (error) {
    record.add(`The case could not run: ${error.stack}`)
  }
  record.write()
  console.log(record.lines.slice(-5).join('\n'))
  process.exit(status)
}
