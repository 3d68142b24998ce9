/**
 * Distinguishes a crashed endpoint from a lost connection. A truncated response looks the same whether the endpoint crashed, the
 * connection was reset or the endpoint broke off this one response; only a crashed endpoint refuses new connections.
 */
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import { DirectDialler } from '../paths/endpoint-dialler.js'
import type { EndpointDialler } from '../paths/endpoint-dialler.js'
import type { Endpoint } from '../routes/configuration.js'

/**
 * Delays before the first and before the second probe of an endpoint. A crashed process closes its sockets one by one, the listening
 * socket among them. The second probe covers processes that end slowly.
 */
const PROBE_DELAYS_MILLISECONDS = [40, 160] as const
/**
 * How long the finding that an endpoint crashed is kept. Endpoint lists from before the crash still name the endpoint. Responses of the
 * same incarnation that are truncated within this time belong to the same crash, so the endpoint is not probed again for them.
 */
const CRASH_MEMORY_MILLISECONDS = 10_000

/** One incarnation of an endpoint, that is, one run of its process, on which a response was truncated. */
export interface EndpointIncarnation {
  readonly endpoint: Endpoint
  /** Key made of the id and the start time of the endpoint, since an endpoint may be restarted under the same id. */
  readonly life: string
}

/** Result of opening a new connection to an endpoint; `unknown` after a timeout or any error other than a refused connection. */
export type ProbeResult = 'accepted' | 'refused' | 'unknown'

/** Opens a connection to check whether the process of an endpoint listens. */
export type ConnectionProbe = (endpoint: Endpoint) => Promise<ProbeResult>

/**
 * Tells whether the data centre of an endpoint can be reached, as its other endpoints show: where all of them refuse connections, the links have failed or
 * the whole data centre is lost, and no request is the cause.
 */
export type DataCentreWitness = (endpoint: Endpoint, probe: ConnectionProbe) => Promise<boolean>

/** Number of other endpoints that are asked. */
const WITNESSES = 3

/**
 * @param others - returns all endpoints
 * @param random - returns a number from 0 to 1
 * @returns a witness that probes some other endpoints of the data centre; one without other endpoints counts as reachable
 */
export function witnessBy (others: () => readonly Endpoint[], random: () => number = Math.random): DataCentreWitness {
  return async ({ id, dataCentre }, probe) => {
    const candidates = others().filter((other) => other.dataCentre === dataCentre && other.id !== id && !other.leaving)
    if (candidates.length === 0) return true
    const chosen = candidates.map((each) => ({ each, order: random() })).sort((one, other) => one.order - other.order).slice(0, WITNESSES)
    const results = await Promise.all(chosen.map(async ({ each }) => await probe(each)))
    return results.includes('accepted')
  }
}

/** Finds out whether an endpoint on which responses were truncated has crashed, by opening new connections to it. */
export class CrashDetector {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly probe: ConnectionProbe
  private readonly witness: DataCentreWitness
  private readonly probes = new Map<string, Promise<boolean>>()

  /**
   * @param clock - monotonic time
   * @param logger - receives one line for each checked endpoint
   * @param probe - opens a connection to an endpoint
   * @param witness - tells whether the data centre of an endpoint can be reached
   */
  constructor (clock: Clock, logger: Logger, probe: ConnectionProbe = probeBy(new DirectDialler()), witness: DataCentreWitness = async () => true) {
    this.clock = clock
    this.logger = logger
    this.probe = probe
    this.witness = witness
  }

  /**
   * Checks an endpoint after a truncated response. Responses that are truncated at the same time share one check.
   *
   * @returns whether the endpoint crashed
   */
  async hasCrashed ({ endpoint, life }: EndpointIncarnation): Promise<boolean> {
    const check = this.probes.get(life) ?? this.probeRepeatedly(endpoint, life)
    this.probes.set(life, check)
    return await check
  }

  private async probeRepeatedly (endpoint: Endpoint, life: string): Promise<boolean> {
    let result: ProbeResult = 'unknown'
    for (const delay of PROBE_DELAYS_MILLISECONDS) {
      await this.clock.sleep(delay)
      result = await this.probe(endpoint)
      if (result === 'refused') break
    }
    const isReachable = result !== 'refused' || await this.witness(endpoint, this.probe)
    const crashed = result === 'refused' && isReachable
    if (crashed) this.logger.warn('An endpoint crashed.', { endpoint: endpoint.id, service: endpoint.service, address: endpoint.address, born: endpoint.born })
    else this.logger.info('Responses were truncated by an endpoint that did not crash.', { endpoint: endpoint.id, service: endpoint.service, probe: result, dataCentreReachable: isReachable })
    setTimeout(() => this.probes.delete(life), crashed ? CRASH_MEMORY_MILLISECONDS : 0).unref()
    return crashed
  }
}

/** @returns the key of an endpoint incarnation, the same on all instances */
export function incarnationOf ({ id, born }: Endpoint): string {
  return `${id}/${born}`
}

/** @returns the endpoint that an incarnation key names */
export function endpointOfIncarnation (life: string): EndpointId {
  return life.slice(0, life.lastIndexOf('/')) as EndpointId
}

/**
 * @param dialler - opens the connections. It must know paths through other instances: an instance whose own links to an endpoint are cut
 *   would take the endpoint for crashed, and the requests that it ran for the cause.
 * @returns a probe that opens a connection and closes it
 */
export function probeBy (dialler: EndpointDialler): ConnectionProbe {
  return async (endpoint) => {
    const dialled = await dialler.dial(endpoint, new AbortController().signal)
    if (dialled.isErr()) return dialled.error.kind === 'refused' ? 'refused' : 'unknown'
    dialled.value.stream.destroy()
    return 'accepted'
  }
}
