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

/** Shows the decisions about one request and their reasons. */
export default class Explain extends AdminCommand {
  static override description = 'Shows the decisions about one request and their reasons. Query the instance that received the request; it remembers the latest ones. With --logs no instance is queried: the log lines of instances are read instead.'

  static override args = { request: Args.string({ required: true, description: 'the request id, as stated in the response' }) }

  static override flags = {
    logs: Flags.string({ multiple: true, description: 'file with the log lines of one or more instances; may be given several times' })
  }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Explain)
    if (flags.logs !== undefined) return this.fromLogs(args.request, flags.logs)
    const answer = await this.valueOrExit(this.client(flags).send({ method: 'GET', target: `/admin/explain/${encodeURIComponent(args.request)}` }))
    if (this.jsonEnabled()) return JSON.parse(answer.text)
    const explanation = this.bodyOf(explanationSchema, answer)
    const start = explanation.steps[0]?.at ?? 0
    this.log(`Request ${explanation.requestId} for ${explanation.adapter}`)
    this.log(table(['AT', 'WHAT', 'WHY'], explanation.steps.map(({ at, what, fields }) => [`+${Math.round(at - start)} ms`, what, fieldsText(fields)])))
    return undefined
  }

  private fromLogs (request: string, files: readonly string[]): unknown {
    const steps = requestTimeline(files.flatMap((file) => this.readLines(file)), request)
    if (steps.length === 0) this.error(`No line names request ${request}. Give the logs of all instances that may have received it.`, { exit: EXIT_CODES.notFound })
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
