/**
 * Tells a crashed endpoint from a lost connection. An answer that breaks off looks the same to its caller whether the endpoint
 * crashed, the link was reset or the endpoint spoiled this one answer; only a crashed endpoint refuses new connections.
 */
import { connect } from 'node:net'
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import type { Endpoint } from '../routes/configuration.js'

/** A crashed process closes its connections one by one, the one it listens on among them; the second look is for slow ends. */
const PROBE_DELAYS_MILLISECONDS = [40, 160] as const
/** As long as any new connection to an endpoint may take. */
const CONNECT_MILLISECONDS = 250
/** A listing that is older than the crash still names the endpoint; breaks in this time belong to the same crash. */
const CRASH_MEMORY_MILLISECONDS = 10_000
const REFUSED = 'ECONNREFUSED'

/** One life of an endpoint that crashed. */
export interface EndpointIncarnation {
  readonly endpoint: Endpoint
  /** The endpoint and its start: an endpoint may start again under its id. */
  readonly life: string
}

/** What a new connection says of an endpoint. */
export type ProbeResult = 'accepted' | 'refused' | 'unknown'

/** Opens a connection to see whether somebody listens. */
export type ConnectionProbe = (address: string) => Promise<ProbeResult>

/** Looks at endpoints on which answers broke off. */
export class CrashDetector {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly probe: ConnectionProbe
  private readonly probes = new Map<string, Promise<boolean>>()

  /**
   * @param clock - monotonic time
   * @param logger - hears of each crash
   * @param probe - opens connections
   */
  constructor (clock: Clock, logger: Logger, probe: ConnectionProbe = probeAddress) {
    this.clock = clock
    this.logger = logger
    this.probe = probe
  }

  /** An answer broke off. Breaks at the same time share one look. @returns whether the endpoint crashed */
  async hasCrashed ({ endpoint, life }: EndpointIncarnation): Promise<boolean> {
    const look = this.probes.get(life) ?? this.look(endpoint, life)
    this.probes.set(life, look)
    return await look
  }

  private async look (endpoint: Endpoint, life: string): Promise<boolean> {
    let seen: ProbeResult = 'unknown'
    for (const pause of PROBE_DELAYS_MILLISECONDS) {
      await this.clock.sleep(pause)
      seen = await this.probe(endpoint.address)
      if (seen === 'refused') break
    }
    const crashed = seen === 'refused'
    if (crashed) this.logger.warn('An endpoint crashed.', { endpoint: endpoint.id, service: endpoint.service, address: endpoint.address, born: endpoint.born })
    else this.logger.info('Answers broke off at an endpoint that did not crash.', { endpoint: endpoint.id, service: endpoint.service, probe: seen })
    setTimeout(() => this.probes.delete(life), crashed ? CRASH_MEMORY_MILLISECONDS : 0).unref()
    return crashed
  }
}

/** @returns the life of an endpoint, equal at all instances */
export function incarnationOf ({ id, born }: Endpoint): string {
  return `${id}/${born}`
}

/** @returns the endpoint of a life */
export function endpointOfIncarnation (life: string): EndpointId {
  return life.slice(0, life.lastIndexOf('/')) as EndpointId
}

/** @returns whether a process listens at `host:port` */
export async function probeAddress (address: string): Promise<ProbeResult> {
  const at = address.lastIndexOf(':')
  return await new Promise((resolve) => {
    const socket = connect({ host: address.slice(0, at), port: Number(address.slice(at + 1)) })
    const end = (seen: ProbeResult): void => {
      socket.destroy()
      resolve(seen)
    }
    socket.setTimeout(CONNECT_MILLISECONDS, () => end('unknown'))
    socket.once('connect', () => end('accepted'))
    socket.once('error', (error: NodeJS.ErrnoException) => end(error.code === REFUSED ? 'refused' : 'unknown'))
  })
}
