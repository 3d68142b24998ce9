/** `limpetwinch explain REQUEST`. */
import { readFileSync } from 'node:fs'
import { Args, Flags } from '@oclif/core'
import { z } from 'zod'
import { requestTimeline } from '../logs/request-timeline.js'
import { AdminCommand, EXIT_CODES } from '../server/admin-command.js'
import { table } from '../show/table.js'

const explanationSchema = z.object({
  requestId: z.string(),
  adapter: z.string(),
  steps: z.array(z.object({ at: z.number(), what: z.string(), fields: z.record(z.string(), z.unknown()).default({}) }))
})

/** Shows what was decided for one request, and why. */
export default class Explain extends AdminCommand {
  static override description = 'Shows what was decided for one request, and why. Ask the instance that took the request; it remembers the latest ones. With --logs no instance is asked: the lines that instances wrote are read.'

  static override args = { request: Args.string({ required: true, description: 'the request id, as the answer named it' }) }

  static override flags = {
    logs: Flags.string({ multiple: true, description: 'a file of log lines, of one instance or of several; may be given again' })
  }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Explain)
    if (flags.logs !== undefined) return this.fromLogs(args.request, flags.logs)
    const answer = await this.valueOrExit(this.client(flags).send({ method: 'GET', target: `/admin/explain/${encodeURIComponent(args.request)}` }))
    if (this.jsonEnabled()) return JSON.parse(answer.text)
    const story = this.bodyOf(explanationSchema, answer)
    const start = story.steps[0]?.at ?? 0
    this.log(`Request ${story.requestId} for ${story.adapter}`)
    this.log(table(['AT', 'WHAT', 'WHY'], story.steps.map(({ at, what, fields }) => [`+${Math.round(at - start)} ms`, what, fieldsText(fields)])))
    return undefined
  }

  private fromLogs (request: string, files: readonly string[]): unknown {
    const steps = requestTimeline(files.flatMap((file) => this.readLines(file)), request)
    if (steps.length === 0) this.error(`No line names request ${request}. Give the logs of all instances that it may have reached.`, { exit: EXIT_CODES.notFound })
    if (this.jsonEnabled()) return { request, steps }
    const start = steps.find((step) => step.own)?.at ?? 0
    const rows = steps.map(({ at, part, what, fields, own }) => [`${own ? '' : '  '}${signed(Math.round(at - start))} ms`, part, what, fieldsText(fields)])
    this.log(table(['AT', 'PART', 'WHAT', 'WHY'], rows))
    return undefined
  }

  private readLines (file: string): string[] {
    try {
      return readFileSync(file, 'utf8').split('\n')
    } catch (cause) {
      this.error(`${file} cannot be read (${cause instanceof Error ? cause.message : String(cause)}). Give a file that exists.`, { exit: EXIT_CODES.usage })
    }
  }
}

function signed (milliseconds: number): string {
  return milliseconds < 0 ? String(milliseconds) : `+${milliseconds}`
}

function fieldsText (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`).join(', ')
}
