/** Events that callers, endpoints, operators and the fault driver record; each line of a history file holds one event. */
import { z } from 'zod'

const at = z.number().nonnegative()
const text = z.string().min(1)

const requestSent = z.object({
  event: z.literal('request-sent'),
  at,
  request: text,
  key: text.optional(),
  team: text,
  /** Name of the adapter; absent for a plain service. */
  adapter: text.optional(),
  version: text.optional(),
  /** Name of the plain service; absent for an adapter. */
  service: text.optional(),
  idempotent: z.boolean(),
  instance: text,
  prompt: z.string(),
  maximumTokens: z.int().nonnegative().optional(),
  seed: z.int().optional()
})

const requestPart = z.object({
  event: z.literal('request-part'),
  at,
  request: text,
  /** Number of parts that this caller received before this one. */
  position: z.int().nonnegative(),
  text: z.string()
})

const requestEnded = z.object({
  event: z.literal('request-ended'),
  at,
  request: text,
  outcome: z.enum(['answered', 'not_run', 'unknown']),
  code: text.optional(),
  /** Adapter that the response names. */
  adapter: text.optional(),
  version: text.optional(),
  text: z.string().optional(),
  servedAs: text.optional()
})

const order = z.object({
  event: z.literal('order'),
  at,
  endpoint: text,
  order: z.enum(['load', 'unload', 'configure']),
  name: z.string().optional(),
  token: z.number().optional(),
  /** `done`, or the error code with which the endpoint refused the order. */
  result: text
})

const runStarted = z.object({
  event: z.literal('run-started'),
  at,
  endpoint: text,
  run: text,
  request: z.string(),
  /** Name under which the engine has the adapter loaded; absent for the base model and plain services. */
  adapter: text.optional(),
  prompt: z.string().optional()
})

const runEnded = z.object({
  event: z.literal('run-ended'),
  at,
  endpoint: text,
  run: text,
  request: z.string(),
  result: z.enum(['finished', 'cancelled', 'lost']),
  /** Number of prompt and output tokens that the run processed. */
  tokens: z.number().nonnegative().optional()
})

const endpointState = z.object({
  event: z.enum(['endpoint-leaving', 'endpoint-live', 'endpoint-restarted']),
  at,
  endpoint: text
})

const settingsAccepted = z.object({
  event: z.literal('settings-accepted'),
  at,
  path: text,
  revision: z.int().positive(),
  /** Identifies the text of the settings, so that the checker detects two texts under one revision. */
  digest: text.optional()
})

const settingsInForce = z.object({
  event: z.literal('settings-in-force'),
  at,
  path: text,
  revision: z.int().positive(),
  instance: text,
  digest: text.optional()
})

const instanceState = z.object({
  event: z.enum(['instance-started', 'instance-stop-asked', 'instance-killed', 'instance-ended']),
  at,
  instance: text
})

const fault = z.object({
  event: z.enum(['fault-started', 'fault-ended']),
  at,
  /** Id of the fault, the same for its start and its end. */
  fault: text,
  kind: text,
  /** Instances that may not receive the latest settings during the fault. */
  instances: z.array(text).default([])
})

const teamWeight = z.object({ event: z.literal('team-weight'), at, team: text, weight: z.number().positive() })

const teamBacklog = z.object({
  event: z.enum(['team-backlog-started', 'team-backlog-ended']),
  at,
  team: text
})

/** Schema of one line of a history. */
export const historyEventSchema = z.discriminatedUnion('event', [
  requestSent, requestPart, requestEnded, order, runStarted, runEnded, endpointState, settingsAccepted,
  settingsInForce, instanceState, fault, teamWeight, teamBacklog
])

/** One event of a history. */
export type HistoryEvent = z.infer<typeof historyEventSchema>

/** Union of the kinds of events. */
export type HistoryEventKind = HistoryEvent['event']

/** The event of one kind. */
export type HistoryEventOf<Kind extends HistoryEventKind> = HistoryEvent extends infer Event
  ? Event extends { event: infer Kinds } ? (Kind extends Kinds ? Event & { event: Kind } : never) : never
  : never

/** An event with its line number, which identifies the event in reports. */
export type Recorded<Event extends HistoryEvent = HistoryEvent> = Event & {
  /** Number of the event over all files in the order read, from 1. */
  readonly line: number
}
