/** Decides, while this instance stops, which requests may still be sent to an endpoint. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, Logger } from '@limpetwinch/core'
import { endsInTime, RunDurations } from '@limpetwinch/decisions'
import type { RoutedRequest } from './routed-request.js'

/**
 * `retry-after` of refusals while this instance is stopping, in seconds. The time is short because the load balancer assigns the caller's next
 * connection to another instance.
 */
export const STOPPING_RETRY_SECONDS = 0.05
/** Number of routes whose durations are kept; those that were used longest ago are dropped. */
const MAXIMUM_ROUTES = 2_000

/** How long a complete response of an endpoint took. */
export interface CompleteRun {
  /** Time from sending the request to the end of the response. */
  readonly milliseconds: number
  /** The part of that time after the first bytes of the body. */
  readonly answerMilliseconds: number | undefined
}

/** What a run is known to need. */
interface RunSize {
  readonly key: string
  /** Units of work: output tokens of a stream, 1 otherwise. */
  readonly size: number
}

/** Learns how long the requests of each route last, and refuses those that would not end before the instance does. */
export class StopGate {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly durations = new Map<string, RunDurations>()
  /** Requests that an endpoint may have begun to run. */
  private readonly begun = new WeakSet<RoutedRequest>()
  private endsAt = Infinity
  private isRotationOver = false

  constructor (clock: Clock, logger: Logger) {
    this.clock = clock
    this.logger = logger
  }

  /** Called when the stop begins. @param endsAt - monotonic time at which the requests in progress will be ended */
  begin (endsAt: number): void {
    this.endsAt = endsAt
  }

  /** Called when no more requests are accepted. From now on a request must be known to end in time. */
  rotationEnded (): void {
    this.isRotationOver = true
  }

  /** Called when a request is sent. @returns whether no endpoint can have begun to run it before */
  sent (request: RoutedRequest): boolean {
    const isFirst = !this.begun.has(request)
    this.begun.add(request)
    return isFirst
  }

  /** Called when the only attempt so far that may have run has proved that it did not. */
  notRun (request: RoutedRequest): void {
    this.begun.delete(request)
  }

  /** Records a complete response, so that the gate knows how long such requests last. */
  record (request: RoutedRequest, { milliseconds, answerMilliseconds }: CompleteRun): void {
    if (request.facts.lastEventId !== undefined) return
    const { key, size } = sizeOf(request)
    const durations = this.durations.get(key) ?? new RunDurations()
    durations.record(size === 1 ? milliseconds : (answerMilliseconds ?? milliseconds) / size)
    this.durations.delete(key)
    this.durations.set(key, durations)
    const [oldest] = this.durations.keys()
    if (this.durations.size > MAXIMUM_ROUTES && oldest !== undefined) this.durations.delete(oldest)
  }

  /**
   * Called right before a request is sent, since it may have waited since it arrived. A request that an endpoint may have begun to run, as one that
   * leaves a slow endpoint for another one, goes on as long as it can: its caller cannot be told that it did not run.
   *
   * @param forecastMilliseconds - forecast time until the first event of a stream; undefined for plain services
   * @returns the error of a request that must not be sent
   */
  refusalOf (request: RoutedRequest, forecastMilliseconds = 0): LimpetwinchError | undefined {
    if (this.endsAt === Infinity || this.begun.has(request)) return undefined
    const isInTime = this.isInTime(request, forecastMilliseconds)
    if (isInTime ?? !this.isRotationOver) return undefined
    this.logger.info('A request was refused because it would not end before this instance does.', {
      request: request.facts.requestId, route: request.route.name, millisecondsLeft: Math.round(this.endsAt - this.clock.now()), durationKnown: isInTime !== undefined
    })
    return stoppingError()
  }

  /** @returns whether a run in progress may be given up for another one, which begins anew: not if that one would not end in time */
  allowsAnother (request: RoutedRequest): boolean {
    return this.endsAt === Infinity || this.isInTime(request, 0) !== false
  }

  /** @returns whether a run that begins now is likely to end before this instance does; undefined when too little is known of such runs */
  private isInTime (request: RoutedRequest, forecastMilliseconds: number): boolean | undefined {
    const { key, size } = sizeOf(request)
    return endsInTime({
      millisecondsLeft: this.endsAt - this.clock.now(),
      forecastMilliseconds: size === 1 ? 0 : forecastMilliseconds,
      size,
      durations: this.durations.get(key)
    })
  }
}

/** @returns the error of a request that did not run because this instance stops */
export function stoppingError (): LimpetwinchError {
  return new LimpetwinchError('stopping', {}, { retryAfterSeconds: STOPPING_RETRY_SECONDS })
}

function sizeOf ({ route, facts }: RoutedRequest): RunSize {
  const isByTokens = route.kind === 'stream' && facts.tokens === 'stated' && facts.outputTokens > 1
  return isByTokens ? { key: `${route.name} by tokens`, size: facts.outputTokens } : { key: route.name, size: 1 }
}
