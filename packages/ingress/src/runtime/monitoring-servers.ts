/** Listens at the addresses for readiness and metrics. */
import type { Server } from 'node:http'
import { listenAt, metricsListener, readinessListener } from './monitoring-listeners.js'
import type { MonitoringSources } from './monitoring-listeners.js'

/** The side addresses of one instance. */
export class MonitoringServers {
  private readonly servers: Server[] = []
  private readonly answers: MonitoringSources

  constructor (answers: MonitoringSources) {
    this.answers = answers
  }

  /**
   * Begins to listen.
   *
   * @param readiness - `host:port`
   * @param metrics - `host:port`
   */
  async listen (readiness: string, metrics: string): Promise<void> {
    this.servers.push(await listenAt(readiness, readinessListener(this.answers)))
    this.servers.push(await listenAt(metrics, metricsListener(this.answers)))
  }

  /** Listens no more. */
  close (): void {
    for (const server of this.servers) server.close()
  }
}
