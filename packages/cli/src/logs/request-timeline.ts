/** The story of one request, from the JSON lines that instances wrote. */
import { parseLogLine } from './log-line.js'
import type { LogLine } from './log-line.js'

/** One line that bears on a request. */
export interface TimelineStep {
  /** Unix milliseconds, by the clock of the instance that wrote it. */
  readonly at: number
  readonly part: string
  readonly what: string
  readonly fields: Readonly<Record<string, unknown>>
  /** Whether the line names the request itself; else it tells of an endpoint or an adapter that the request met. */
  readonly own: boolean
}

/** Lines on endpoints and adapters count from so long before the request: what it met was decided then. */
const LOOKBACK_MILLISECONDS = 3_000
/** Whether an endpoint crashed is known a moment after its answers broke off. */
const CRASH_DETECTION_MILLISECONDS = 1_000
/** What is known of a line without being worth a column. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['timestamp', 'level', 'label', 'message', 'request'])
/** Lines of other requests say nothing about this one. */
const REQUEST_LABEL = 'relay'

/**
 * Picks what bears on a request.
 *
 * @param lines - of any number of instances, in any order; a line may have text before its JSON, others are passed over
 * @param request - the id
 * @returns the steps by time; empty when no line names the request
 */
export function requestTimeline (lines: Iterable<string>, request: string): TimelineStep[] {
  const parsed = [...lines].flatMap((line) => parseLogLine(line) ?? [])
  const own = parsed.filter((line) => line.fields.request === request)
  if (own.length === 0) return []
  const first = Math.min(...own.map((line) => line.at))
  const last = Math.max(...own.map((line) => line.at))
  const endpoints = new Set<unknown>(own.map((line) => line.fields.endpoint).filter((id) => id !== undefined))
  const adapters = new Set(own.map((line) => nameOf(line.fields.adapter)).filter((name) => name !== undefined))
  const around = parsed.filter((line) => {
    if (line.part === REQUEST_LABEL || line.fields.request === request || line.at < first - LOOKBACK_MILLISECONDS) return false
    if (line.fields.fingerprint !== undefined) return endpoints.has(line.fields.endpoint) && line.at <= last + CRASH_DETECTION_MILLISECONDS
    if (line.at > last) return false
    const adapter = nameOf(line.fields.adapter)
    return adapter === undefined ? endpoints.has(line.fields.endpoint) : adapters.has(adapter)
  })
  const others = [...around, ...crashLines(parsed, own, around)]
  const steps = [...own.map((line) => step(line, true)), ...[...new Set(others)].map((line) => step(line, false))]
  return steps.sort((one, other) => one.at - other.at)
}

/**
 * Crashes that the same request was aboard under other ids, whenever that was, and verdicts on it and on what was aboard with it:
 * the one tells why a request is held back, the other which request ended the endpoint of a stream that broke off.
 */
function crashLines (lines: readonly LogLine[], own: readonly LogLine[], around: readonly LogLine[]): LogLine[] {
  const ownFingerprints = fingerprintsOf(own)
  const allFingerprints = fingerprintsOf([...own, ...around])
  return lines.filter((line) => {
    const { fingerprint, request } = line.fields
    if (fingerprint === undefined || own.includes(line)) return false
    return ownFingerprints.has(fingerprint) || (request === undefined && allFingerprints.has(fingerprint))
  })
}

function fingerprintsOf (lines: readonly LogLine[]): ReadonlySet<unknown> {
  return new Set(lines.map((line) => line.fields.fingerprint).filter((fingerprint) => fingerprint !== undefined))
}

function step (line: LogLine, own: boolean): TimelineStep {
  const fields = Object.fromEntries(Object.entries(line.fields).filter(([name]) => !HIDDEN_FIELDS.has(name)))
  return { at: line.at, part: line.part, what: line.message, fields, own }
}

/** Requests name an adapter with its model, orders without it. */
function nameOf (adapter: unknown): string | undefined {
  if (typeof adapter !== 'string') return undefined
  return adapter.slice(adapter.lastIndexOf('/') + 1)
}
