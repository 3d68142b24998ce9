/** A complete history, with its events joined into requests and runs for the rules. */
import type { HistoryEvent, HistoryEventKind, HistoryEventOf, Recorded } from './events.js'

/** One run of a request at an endpoint. */
export interface Run {
  readonly started: Recorded<HistoryEventOf<'run-started'>>
  /** Undefined when the history ends before the run does. */
  readonly ended: Recorded<HistoryEventOf<'run-ended'>> | undefined
}

/** All events of one request: those that its caller recorded and the runs that belong to it. */
export interface RequestRecord {
  readonly sent: Recorded<HistoryEventOf<'request-sent'>>
  readonly parts: readonly Recorded<HistoryEventOf<'request-part'>>[]
  readonly ends: readonly Recorded<HistoryEventOf<'request-ended'>>[]
  /** Runs of this request. When several requests have the same prompt, a run belongs to each request that may have caused it. */
  readonly runs: readonly Run[]
}

/** Events in order of time, and the requests and runs that they describe. */
export class History {
  readonly events: readonly Recorded[]
  readonly runs: readonly Run[]
  readonly requests: readonly RequestRecord[]
  private readonly byKind = new Map<HistoryEventKind, Recorded[]>()

  /** @param events - events in any order; events of the same millisecond keep their given order */
  constructor (events: readonly HistoryEvent[]) {
    this.events = events
      .map((event, index) => ({ ...event, line: index + 1 }))
      .sort((left, right) => left.at - right.at || left.line - right.line)
    for (const event of this.events) this.group(event.event).push(event)
    this.runs = this.joinRuns()
    this.requests = this.joinRequests()
  }

  /** @returns the events of one kind in order of time */
  of<Kind extends HistoryEventKind> (kind: Kind): readonly Recorded<HistoryEventOf<Kind>>[] {
    return this.group(kind) as unknown as Recorded<HistoryEventOf<Kind>>[]
  }

  /** Time of the last event, in milliseconds of the recorders' wall clock. */
  get end (): number {
    return this.events.at(-1)?.at ?? 0
  }

  private group (kind: HistoryEventKind): Recorded[] {
    const present = this.byKind.get(kind)
    if (present !== undefined) return present
    const group: Recorded[] = []
    this.byKind.set(kind, group)
    return group
  }

  private joinRuns (): Run[] {
    const ends = new Map(this.of('run-ended').map((ended) => [runKey(ended), ended]))
    return this.of('run-started').map((started) => ({ started, ended: ends.get(runKey(started)) }))
  }

  private joinRequests (): RequestRecord[] {
    const parts = groupBy(this.of('request-part'), (part) => part.request)
    const ends = groupBy(this.of('request-ended'), (ended) => ended.request)
    const runs = this.runsByRequest()
    return this.of('request-sent').map((sent) => ({
      sent,
      parts: parts.get(sent.request) ?? [],
      ends: ends.get(sent.request) ?? [],
      runs: runs.get(sent.request) ?? []
    }))
  }

  /** Joins runs with requests by the request id if the endpoint recorded the caller's id, otherwise by the prompt, which the load tool makes unique. */
  private runsByRequest (): Map<string, Run[]> {
    const sent = this.of('request-sent')
    const known = new Set(sent.map((event) => event.request))
    const byPrompt = groupBy(sent, (event) => event.prompt)
    const joined = new Map<string, Run[]>()
    for (const run of this.runs) {
      const { request, prompt } = run.started
      if (known.has(request)) {
        push(joined, request, run)
        continue
      }
      const senders = prompt === undefined ? [] : byPrompt.get(prompt) ?? []
      // The order of two recorders within one millisecond is unknown, so a request sent in the same millisecond counts as earlier.
      for (const event of senders.filter((event) => event.at <= run.started.at)) push(joined, event.request, run)
    }
    return joined
  }
}

/** @returns a key of a run that is unique in the history; run ids are unique only within one endpoint */
export function runKey (event: { readonly endpoint: string, readonly run: string }): string {
  return `${event.endpoint} ${event.run}`
}

/** @returns the items grouped by key; each group keeps the order of the items */
export function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) push(groups, keyOf(item), item)
  return groups
}

function push<Item> (groups: Map<string, Item[]>, key: string, item: Item): void {
  const group = groups.get(key)
  if (group === undefined) groups.set(key, [item])
  else group.push(item)
}
