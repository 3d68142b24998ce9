/** Builds the messages that carry crashes and quarantine decisions to other instances. */
import type { EndpointCrashFrame, RequestVerdictFrame } from '@limpetwinch/core'
import type { AccusedRun, EndpointCrash, InFlightRequest, QuarantineDecision } from '@limpetwinch/decisions'

/** @returns the message that announces a quarantine decision to other instances */
export function decisionFrame ({ fingerprint, crashes, strikes, certain, until }: QuarantineDecision, now: number): RequestVerdictFrame {
  return { kind: 'request-verdict', fingerprint, crashes, strikes, certain, remainingMilliseconds: Math.max(0, until - now) }
}

/** @returns the message that reports a crash, with what this instance had in flight, to other instances */
export function crashFrame ({ life, service, at }: EndpointCrash, aboard: readonly InFlightRequest[], accusedRuns: readonly AccusedRun[], now: number): EndpointCrashFrame {
  return {
    kind: 'endpoint-crash',
    life,
    service,
    millisecondsAgo: Math.max(0, now - at),
    aboard: aboard.map(({ fingerprint, milliseconds, isolated }) => [fingerprint, milliseconds, isolated]),
    ...(accusedRuns.length === 0 ? {} : { accusedRuns: accusedRuns.map(({ milliseconds, parts }) => [milliseconds, parts] as const) })
  }
}
