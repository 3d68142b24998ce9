/** Listens at the addresses for readiness and metrics. */
import type { Server } from 'node:http'
import type { Clock } from '@limpetwinch/core'
import type { SideAnswers } from './side-listeners.js'

/** Who asks whether this instance is ready must get an answer soon, also when the store is silent. */
const LATEST_MILLISECONDS = 300
const LOOK_MILLISECONDS = 10

/** The side addresses of one instance. */
export class SideAddresses {
  private readonly servers: Server[] = []
  private readonly answers: SideAnswers
  private readonly clock: Clock

  constructor (answers: SideAnswers, clock: Clock) {
    this.answers = answers
    this.clock = clock
  }

  /**
   * Begins to listen once requests can be served. Loading the libraries takes processor time from the start, and after a kill
   * callers come at once, ready or not.
   *
   * @param readiness - `host:port`
   * @param metrics - `host:port`
   */
  async listen (readiness: string, metrics: string): Promise<void> {
    const { answers, clock } = this
    const latest = clock.now() + LATEST_MILLISECONDS
    while (!answers.isReady() && clock.now() < latest) await clock.sleep(LOOK_MILLISECONDS)
    const { listenAt, metricsApplication, readinessApplication } = await import('./side-listeners.js')
    this.servers.push(await listenAt(readiness, readinessApplication(answers)))
    this.servers.push(await listenAt(metrics, metricsApplication(answers)))
  }

  /** Listens no more. */
  close (): void {
    for (const server of this.servers) server.close()
  }
}
