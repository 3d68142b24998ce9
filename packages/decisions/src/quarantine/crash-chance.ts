/** Probability that an innocent suspect was in flight at several crashes by coincidence. */

/**
 * Lengths of the time windows before a crash. The rate of unrelated crashes is measured in each window, and the highest rate counts,
 * since crashes come in bursts.
 */
const CRASH_RATE_WINDOWS_MILLISECONDS = [10_000, 60_000] as const

/** Crash of an endpoint, as observed by one or several instances. */
export interface EndpointCrash {
  /** Identifies the endpoint and its incarnation; equal on all instances. */
  readonly life: string
  readonly service: string
  /** Monotonic time at which this instance learnt of the crash, milliseconds. */
  readonly at: number
}

/** A crash at which the suspect was in flight. */
export interface CrashWithSuspect extends EndpointCrash {
  /** Time for which the suspect had been in flight on the endpoint, milliseconds. */
  readonly milliseconds: number
}

/**
 * @param crashes - the crashes at which the suspect was in flight
 * @param others - the crashes without the suspect. Crashes with a known cause count as well; otherwise each wrong decision would lower the
 *   rate and make the next wrong one more likely
 * @param endpointCount - number of endpoints of a service
 * @returns probability that an innocent suspect is in flight at all of the crashes, given the rate of the others
 */
export function chanceOfCoincidence (crashes: readonly CrashWithSuspect[], others: readonly EndpointCrash[], endpointCount: (service: string) => number): number {
  return crashes.reduce((chance, crash) => {
    const rate = rateAt(crash, others, Math.max(1, endpointCount(crash.service)))
    return chance * (1 - Math.exp(-rate * Math.max(1, crash.milliseconds)))
  }, 1)
}

/**
 * @returns crashes of the service per endpoint and millisecond shortly before this crash: the highest rate among the windows of
 *   `CRASH_RATE_WINDOWS_MILLISECONDS`, where one crash is added to each so that no rate is 0
 */
function rateAt ({ service, at }: EndpointCrash, others: readonly EndpointCrash[], endpoints: number): number {
  const rates = CRASH_RATE_WINDOWS_MILLISECONDS.map((milliseconds) => {
    const near = others.filter((other) => other.service === service && other.at <= at && at - other.at < milliseconds)
    return (near.length + 1) / (endpoints * milliseconds)
  })
  return Math.max(...rates)
}
