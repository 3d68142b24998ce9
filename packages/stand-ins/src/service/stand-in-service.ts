/** The stand-in plain service: it echoes and counts what it ran. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Context } from 'hono'
import { z } from 'zod'
import { HistoryRecorder } from '../history/history-recorder.js'
import { readBody } from '../http/read-body.js'
import { cut, refuse, StandInServer } from '../http/stand-in-server.js'
import type { StandInApplication, StandInEnvironment } from '../http/stand-in-server.js'

const serviceFaultsSchema = z.strictObject({
  /** So many of the next requests are refused with 503 and not run. */
  refuseBefore: z.int().min(0).optional(),
  /** So many of the next connections are cut before anything is run. */
  failBefore: z.int().min(0).optional(),
  /** So many of the next requests are run, and their connection is cut without an answer. */
  failAfter: z.int().min(0).optional(),
  /** Added before each run, milliseconds. */
  slowness: z.number().min(0).optional(),
  /** Nothing passes any more on the connections that are open. */
  silenceConnections: z.boolean().optional(),
  /** So many of the next connections are accepted, and nothing is said on them. */
  silentConnections: z.int().min(0).optional()
})

/** Faults of the stand-in service; those not named stay as they are. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>

/** How the stand-in service behaves. */
export interface StandInServiceOptions {
  /** Endpoint id, for history lines. */
  readonly name: string
  /** A file for history lines. */
  readonly history?: string | undefined
  readonly faults?: ServiceFaults | undefined
}

/** The header that names the request in history lines. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** One plain service. */
export class StandInService extends StandInServer {
  readonly history: HistoryRecorder
  private readonly name: string
  private readonly faults = { refuseBefore: 0, failBefore: 0, failAfter: 0, slowness: 0 }

  /** @param options - name, history file, first faults */
  constructor (options: Partial<StandInServiceOptions> = {}) {
    super()
    this.name = options.name ?? 'service'
    this.history = new HistoryRecorder(options.history)
    this.setFaults(options.faults ?? {})
  }

  /** Sets the faults that are named; others stay as they are. */
  setFaults (faults: ServiceFaults): void {
    const { silenceConnections, silentConnections, ...own } = faults
    Object.assign(this.faults, own)
    if (silenceConnections === true) this.silenceOpenConnections()
    if (silentConnections !== undefined) this.silenceNextConnections(silentConnections)
  }

  override async close (): Promise<void> {
    await super.close()
    await this.history.close()
  }

  protected override routes (application: StandInApplication): void {
    application.get('/control/history', (context) => context.json({ events: this.history.all() }))
    application.post('/control/faults', async (context) => {
      const body = await readBody(context, serviceFaultsSchema)
      if (body.isErr()) return body.error
      this.setFaults(body.value)
      return context.json({})
    })
    application.all('*', (context) => this.run(context))
  }

  private async run (context: Context<StandInEnvironment>): Promise<Response> {
    const body = await context.req.text()
    if (this.takeFault('refuseBefore')) return refuse(context, 503, 'refused', 'The service refuses this request.')
    if (this.takeFault('failBefore')) return cut(context)
    if (this.faults.slowness > 0) await sleep(this.faults.slowness)
    const run = randomUUID()
    const request = context.req.header(REQUEST_ID_HEADER) ?? ''
    this.history.record({ event: 'run-started', endpoint: this.name, run, request, prompt: body })
    this.history.record({ event: 'run-ended', endpoint: this.name, run, request, result: 'finished' })
    if (this.takeFault('failAfter')) return cut(context)
    const { pathname, search } = new URL(context.req.url)
    return context.json({ endpoint: this.name, run, request, method: context.req.method, path: pathname + search, body })
  }

  private takeFault (fault: 'refuseBefore' | 'failBefore' | 'failAfter'): boolean {
    if (this.faults[fault] === 0) return false
    this.faults[fault] -= 1
    return true
  }
}

/** Checks faults that come as text. */
export { serviceFaultsSchema }
