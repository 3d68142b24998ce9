/** `limpetwinch where`. */
import { Command, Flags } from '@oclif/core'
import { EXIT_CODES } from '../server/admin-command.js'
import { askWhere } from '../where/where-client.js'
import { agreementText, outcomeText, whereText } from '../where/where-text.js'

/** Flags that describe the request, by the parameter of the question. */
const REQUEST_FLAGS = {
  service: Flags.string({ description: 'service that the request goes to; else --host and --path' }),
  host: Flags.string({ description: 'host of the request' }),
  path: Flags.string({ description: 'path of the request' }),
  model: Flags.string({ description: 'base model' }),
  adapter: Flags.string({ description: 'adapter of the model' }),
  prompt: Flags.string({ description: 'parts of the prompt in order, as ID:TOKENS, separated by commas' }),
  'prompt-tokens': Flags.integer({ min: 0, description: 'prompt tokens; the sum of the parts by default' }),
  'output-tokens': Flags.integer({ min: 0, description: 'most output tokens' }),
  team: Flags.string({ description: 'team of the caller' }),
  priority: Flags.integer({ min: 0, description: 'priority, 0 being the most urgent; that of the team or route by default' }),
  candidates: Flags.integer({ min: 1, max: 100, description: 'most endpoints to list; 10 by default' })
}

/** Shows where a described request would go now, and why, without sending it. */
export default class Where extends Command {
  static override description = 'Shows where a request would go now, and why, as ingress instances see it: every candidate with its cost and the age of what it rests on, and whether the request would wait, be refused or cause a load. Nothing is sent or counted. Given several instances, tells whether they agree.'

  static override enableJsonFlag = true

  static override flags = {
    instance: Flags.string({ char: 'i', multiple: true, required: true, description: 'metrics address of an ingress instance, as host:port or URL; may be given several times' }),
    ...REQUEST_FLAGS
  }

  override async run (): Promise<unknown> {
    const { flags } = await this.parse(Where)
    const query = new URLSearchParams()
    for (const name of Object.keys(REQUEST_FLAGS) as (keyof typeof REQUEST_FLAGS)[]) {
      const value = flags[name]
      if (value !== undefined) query.set(name.replace(/-t/, 'T'), String(value))
    }
    const results = await Promise.all(flags.instance.map(async (instance) => await askWhere(instance, query)))
    const answers = results.flatMap((result) => result.isOk() ? [result.value] : [])
    const errors = results.flatMap((result) => result.isErr() ? [result.error] : [])
    const agree = new Set(answers.map(outcomeText)).size <= 1
    if (errors[0] !== undefined && answers.length === 0) this.error(errors[0].message, { exit: errors[0].kind === 'admin-unreachable' ? EXIT_CODES.unavailable : EXIT_CODES.usage })
    if (this.jsonEnabled()) return { agree, answers, unanswered: errors.map(({ message }) => message) }
    const parts = [...answers.map(whereText), agreementText(answers), ...errors.map(({ message }) => `No answer: ${message}`)]
    this.log(parts.filter((part) => part !== undefined).join('\n\n'))
    return undefined
  }
}
