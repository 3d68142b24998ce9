/** Endpoints that answer with bytes without an end. */
import { ENDLESS_FORMS } from '@limpetwinch/stand-ins'
import type { SoakEnvironment } from '../soak-environment.js'
import { UNBOUNDED_ANSWERS } from '../soak-record.js'
import { SoakFault } from './soak-fault.js'

/** Without events that the engine repeats: the caller would take the first of them for a part of its answer, as it must. */
const FORMS = ENDLESS_FORMS.filter((form) => form !== 'repeats')
/** The endpoints share one process with the store, so no piece follows the last one without a pause. */
const PIECE_INTERVALS_MILLISECONDS = [1, 2, 10, 40] as const
const PIECE_BYTES = [16, 200, 2_000] as const
const MILLISECONDS = { minimum: 4_000, maximum: 9_000 }

/** Lets a model server or a web server answer all requests and orders with bytes without an end. */
export class AnswerWithoutEnd extends SoakFault {
  override readonly kind = UNBOUNDED_ANSWERS

  override async run (environment: SoakEnvironment): Promise<void> {
    const { random, deployment } = environment
    const usable = [...deployment.engines, ...deployment.webServers].filter(({ hasEnded, endless }) => !hasEnded && endless === undefined)
    if (usable.length === 0) return
    const endpoint = random.pick(usable)
    const answer = { form: random.pick(FORMS), milliseconds: random.pick(PIECE_INTERVALS_MILLISECONDS), bytes: random.pick(PIECE_BYTES) }
    await this.recordWhile(environment, endpoint.options.id, async () => {
      endpoint.endless = answer
      await environment.wait(MILLISECONDS.minimum, MILLISECONDS.maximum)
      endpoint.endless = undefined
    })
  }
}
