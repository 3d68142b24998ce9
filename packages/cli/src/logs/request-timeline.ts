/** Builds the timeline of one request from the JSON log lines of instances. */
import { parseLogLine } from './log-line.js'
import type { LogLine } from './log-line.js'

/** A log line that concerns a request. */
export interface TimelineStep {
  /** Unix time in milliseconds, by the clock of the instance that wrote the line. */
  readonly at: number
  /** Label of the component that wrote the line. */
  readonly part: string
  /** Message of the line. */
  readonly what: string
  readonly fields: Readonly<Record<string, unknown>>
  /** Whether the line names the request itself; otherwise it concerns an endpoint or an adapter that the request used. */
  readonly own: boolean
}

/** Lines on endpoints and adapters are included from this long before the request's first line: the state that the request found was decided then. */
const LOOKBACK_MILLISECONDS = 3_000
/** Lines on crashes are included up to this long after the request's last line: a crash is detected at most this long after the endpoint's responses were truncated. */
const CRASH_DETECTION_MILLISECONDS = 1_000
/** Fields that are shown in other columns or are the same in all lines. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['timestamp', 'level', 'label', 'message', 'request'])
/** Label of lines about requests. Lines with this label that name another request are not part of a request's timeline. */
const REQUEST_LABEL = 'relay'

/**
 * Selects the log lines that concern a request.
 *
 * @param lines - lines of any number of instances, in any order; a line may have text before its JSON, lines without JSON are ignored
 * @param request - id of the request
 * @returns the steps in the order of time; empty when no line names the request
 */
export function requestTimeline (lines: Iterable<string>, request: string): TimelineStep[] {
  const parsed = [...lines].flatMap((line) => parseLogLine(line) ?? [])
  const ownLines = parsed.filter((line) => line.fields.request === request)
  if (ownLines.length === 0) return []
  const startAt = Math.min(...ownLines.map((line) => line.at))
  const endAt = Math.max(...ownLines.map((line) => line.at))
  const endpoints = new Set<unknown>(ownLines.map((line) => line.fields.endpoint).filter((id) => id !== undefined))
  const adapters = new Set(ownLines.map((line) => nameOf(line.fields.adapter)).filter((name) => name !== undefined))
  const contextLines = parsed.filter((line) => {
    if (line.part === REQUEST_LABEL || line.fields.request === request || line.at < startAt - LOOKBACK_MILLISECONDS) return false
    if (line.fields.fingerprint !== undefined) return endpoints.has(line.fields.endpoint) && line.at <= endAt + CRASH_DETECTION_MILLISECONDS
    if (line.at > endAt) return false
    const adapter = nameOf(line.fields.adapter)
    return adapter === undefined ? endpoints.has(line.fields.endpoint) : adapters.has(adapter)
  })
  const otherLines = [...contextLines, ...crashLines(parsed, ownLines, contextLines)]
  const steps = [...ownLines.map((line) => step(line, true)), ...[...new Set(otherLines)].map((line) => step(line, false))]
  return steps.sort((one, other) => one.at - other.at)
}

/**
 * Selects lines on crashes and on quarantine decisions for the timeline of one request, whatever the time of these lines.
 *
 * A line on a crash is selected if the request of the timeline was in flight at the crash under another request id, which is recognised
 * by the same fingerprint. Lines on such crashes show why the request is quarantined.
 *
 * A line on a quarantine decision is selected if the decision is about the request of the timeline, or about a request that was in flight
 * together with it. If a crash truncated the stream of the timeline's request, such a decision shows which request crashed the endpoint.
 */
function crashLines (lines: readonly LogLine[], ownLines: readonly LogLine[], contextLines: readonly LogLine[]): LogLine[] {
  const ownFingerprints = fingerprintsOf(ownLines)
  const allFingerprints = fingerprintsOf([...ownLines, ...contextLines])
  return lines.filter((line) => {
    const { fingerprint, request } = line.fields
    if (fingerprint === undefined || ownLines.includes(line)) return false
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

/** @returns the name of an adapter without its model. Lines on requests contain `model/adapter`, lines on orders only the adapter */
function nameOf (adapter: unknown): string | undefined {
  if (typeof adapter !== 'string') return undefined
  return adapter.slice(adapter.lastIndexOf('/') + 1)
}
