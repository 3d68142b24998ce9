/** The stand-in plain service, which echoes requests and records those it ran. */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Context } from 'hono'
import { z } from 'zod'
import { HistoryRecorder } from '../history/history-recorder.js'
import { readBody } from '../http/read-body.js'
import { cut, refuse, StandInServer } from '../http/stand-in-server.js'
import type { StandInApplication, StandInEnvironment } from '../http/stand-in-server.js'

const serviceFaultsSchema = z.strictObject({
  /** Number of next requests that are refused with status 503 and not run. */
  refuseBefore: z.int().min(0).optional(),
  /** Number of next requests whose connection is closed before the request is run. */
  failBefore: z.int().min(0).optional(),
  /** Number of next requests that are run but whose connection is closed without a response. */
  failAfter: z.int().min(0).optional(),
  /** Delay before each run, in milliseconds. */
  slowness: z.number().min(0).optional(),
  /** Makes all open connections unresponsive; new connections work. */
  silenceConnections: z.boolean().optional(),
  /** Number of next connections that are accepted but stay unresponsive. */
  silentConnections: z.int().min(0).optional()
})

/** Faults of the stand-in service; faults that are not given stay unchanged. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>

/** Options of the stand-in service. */
export interface StandInServiceOptions {
  /** Endpoint id in history lines. */
  readonly name: string
  /** Path of a file to which history lines are appended. */
  readonly history?: string | undefined
  readonly faults?: ServiceFaults | undefined
}

/** Header with the request id that history lines contain. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** A stand-in for one endpoint of a plain service. */
export class StandInService extends StandInServer {
  readonly history: HistoryRecorder
  private readonly name: string
  private readonly faults = { refuseBefore: 0, failBefore: 0, failAfter: 0, slowness: 0 }

  /** @param options - name, history file and initial faults */
  constructor (options: Partial<StandInServiceOptions> = {}) {
    super()
    this.name = options.name ?? 'service'
    this.history = new HistoryRecorder(options.history)
    this.setFaults(options.faults ?? {})
  }

  /** Sets the given faults; other faults stay unchanged. */
  setFaults (faults: ServiceFaults): void {
    const { silenceConnections, silentConnections, ...requestFaults } = faults
    Object.assign(this.faults, requestFaults)
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

/** Schema of the body of `POST /control/faults` and of the `--faults` flag. */
export { serviceFaultsSchema }
