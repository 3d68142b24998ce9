/**
 * Starts and closes the two HTTP servers of an instance, one for readiness and one for metrics, each at its own address. The
 * responses are created in `monitoring-listeners.ts`.
 */
import type { Server } from 'node:http'
import { listenAt, metricsListener, readinessListener } from './monitoring-listeners.js'
import type { MonitoringSources } from './monitoring-listeners.js'

/** The readiness and metrics servers of one instance. */
export class MonitoringServers {
  private readonly servers: Server[] = []
  private readonly sources: MonitoringSources

  constructor (sources: MonitoringSources) {
    this.sources = sources
  }

  /**
   * Starts to listen.
   *
   * @param readiness - address of the readiness server, `host:port`
   * @param metrics - address of the metrics server, `host:port`
   */
  async listen (readiness: string, metrics: string): Promise<void> {
    this.servers.push(await listenAt(readiness, readinessListener(this.sources)))
    this.servers.push(await listenAt(metrics, metricsListener(this.sources)))
  }

  /** Stops listening. */
  close (): void {
    for (const server of this.servers) server.close()
  }
}
