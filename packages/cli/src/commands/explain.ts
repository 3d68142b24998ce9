/** `limpetwinch explain REQUEST`. */
import { Args } from '@oclif/core'
import { z } from 'zod'
import { AdminCommand } from '../server/admin-command.js'
import { table } from '../show/table.js'

const storySchema = z.object({
  requestId: z.string(),
  adapter: z.string(),
  steps: z.array(z.object({ at: z.number(), what: z.string(), fields: z.record(z.string(), z.unknown()).default({}) }))
})

/** Shows what was decided for one request, and why. */
export default class Explain extends AdminCommand {
  static override description = 'Shows what was decided for one request, and why. Ask the instance that took the request; it remembers the latest ones.'

  static override args = { request: Args.string({ required: true, description: 'the request id, as the answer named it' }) }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(Explain)
    const answer = await this.must(this.client(flags).ask({ method: 'GET', target: `/admin/explain/${encodeURIComponent(args.request)}` }))
    if (this.jsonEnabled()) return JSON.parse(answer.text)
    const story = this.bodyOf(storySchema, answer)
    const start = story.steps[0]?.at ?? 0
    this.log(`Request ${story.requestId} for ${story.adapter}`)
    this.log(table(['AT', 'WHAT', 'WHY'], story.steps.map(({ at, what, fields }) => [`+${Math.round(at - start)} ms`, what, fieldsText(fields)])))
    return undefined
  }
}

function fieldsText (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`).join(', ')
}
