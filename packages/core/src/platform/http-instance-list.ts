/** The client that reads the platform's list of instances and endpoints over HTTP. */
import { ResultAsync } from 'neverthrow'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { DataCentreId } from '../ids/ids.js'
import { InstanceList } from './instance-list.js'
import type { ListedInstance } from './instance-list.js'

/** Timeout of one read of the list. */
const CALL_TIMEOUT_MILLISECONDS = 2_000

const listSchema = z.object({
  instances: z.array(z.object({
    id: z.string(),
    kind: z.enum(['entry', 'endpoint']),
    address: z.string(),
    dataCentre: z.string().transform((text) => text as DataCentreId),
    state: z.enum(['live', 'leaving'])
  }))
})

/** An {@link InstanceList} over HTTP. */
export class HttpInstanceList extends InstanceList {
  private readonly base: string
  private readonly agent = new Agent({ connections: 2, pipelining: 1 })

  /** @param base - the base URL of the platform */
  constructor (base: string) {
    super()
    this.base = base
  }

  override read (): ResultAsync<readonly ListedInstance[], LimpetwinchError> {
    return ResultAsync.fromPromise(this.fetch(), (cause) => {
      const reason = cause instanceof Error ? cause.message : String(cause)
      return new LimpetwinchError('store-unavailable', { reason }, { cause })
    })
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async fetch (): Promise<readonly ListedInstance[]> {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS)
    const response = await request(`${this.base}/instances`, { dispatcher: this.agent, signal })
    const body = await response.body.json()
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
    return listSchema.parse(body).instances
  }
}
