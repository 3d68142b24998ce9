import { StandInModelServer } from '../../platform/dist/stand-ins/stand-in-model-server.js'

const NO_SUCH_ORDER = 400
const FULL = 503
/** `KvTokens` of the sample configuration. */
const MEMORY_TOKENS = 200_000

/** A model server that knows as many adapters as the configuration names, a1 to a100, and answers 400 to an order for any other, as PROTOCOL.md says. */
export class CountedModelServer extends StandInModelServer {
  /** What the requests that ran said of their size and prompt, by id. */
  ran = new Map()

  /** Listens, and takes heads with any number of lines. */
  async listen (...place) {
    const url = await super.listen(...place)
    this.server.maxHeadersCount = 0
    return url
  }

  /** @returns the refusal of a request; one that is larger than the memory is refused as if the server were full */
  refusalOf (context) {
    const [prompt = 0, output = 0] = (context.req.header('x-token-usage') ?? '').split(',').map(Number)
    if (prompt + output <= MEMORY_TOKENS) return super.refusalOf(context)
    this.countRefusal()
    return this.notRun(context, FULL)
  }

  /** Serves a request. */
  async serve (context) {
    const { req } = context
    this.ran.set(req.header('x-request-id'), { model: req.header('x-model'), usage: req.header('x-token-usage'), prefix: req.header('x-prompt-prefix') })
    return await super.serve(context)
  }

  /** @returns the status of the answer to an order */
  applyOrder (order) {
    const number = Number(/^a(\d+)$/.exec(order.Adapter ?? 'a1')?.[1] ?? 0)
    if (number < 1 || number > 100) return NO_SUCH_ORDER
    return super.applyOrder(order)
  }
}
