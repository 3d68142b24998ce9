/** Schema of each frame on the wire. The position of a field in its schema is its position on the wire: append only. */
import { ERRORS } from '@limpetwinch/core'
import type { ErrorName, FrameKind } from '@limpetwinch/core'
import { z } from 'zod'

const id = z.string().min(1).max(200)
const count = z.int().min(0)
const errorNames = Object.keys(ERRORS) as [ErrorName, ...ErrorName[]]

/**
 * A newer release may send an error that this release does not know. The field `outcome`, which says whether the work was
 * run, is still valid then.
 */
const errorName = z.enum(errorNames).catch('bad-frame')

const errorBody = {
  error: errorName,
  details: z.record(z.string(), z.unknown()),
  outcome: z.enum(['not_run', 'unknown']),
  retryAfterSeconds: z.number().optional()
}

const stateRevisions = { configuration: count, endpoints: count, announcements: count, cluster: count.optional() }
const age = z.number().min(0)
const stateAges = z.object({ configuration: age.optional(), endpoints: age.optional(), announcements: age.optional(), cluster: age.optional() })
const revisedValue = z.object({ revision: count, value: z.unknown() }).optional()
const objectNames = z.array(id).optional()
const changedObjects = z.object({ revision: count, value: z.unknown(), present: objectNames, lapsed: objectNames }).optional()

const streamOrigin = z.tuple([id, z.string().max(400), z.string().max(200)])

const waitsByPriority = z.array(z.number().min(0)).max(20).optional()

const pin = { requestId: id, loadedName: z.string().max(400).optional(), team: id }

/** Schemas by kind, without the field `kind`. Kinds are numbered on the wire in this order: append only. */
export const FRAME_SCHEMAS = {
  hello: z.object({ instance: id, dataCentre: id, address: id }),
  heartbeat: z.object({
    sequence: count,
    echo: count,
    leaving: z.boolean(),
    settingsHash: z.string().max(64),
    ownershipVersion: count,
    storeReachable: z.boolean(),
    provedConfiguration: count.optional(),
    provedMillisecondsAgo: z.number().min(0).optional()
  }),
  goodbye: z.object({}),
  'admission-ask': z.object({
    call: count,
    requestId: id,
    endpoint: id,
    adapter: z.object({ team: id, adapter: id, version: id }).optional(),
    team: id,
    priority: z.number(),
    promptTokens: count,
    maximumTokens: count,
    patience: z.number()
  }),
  'admission-granted': z.object({
    call: count,
    token: count,
    loadedName: z.string().max(400).optional(),
    loadStall: z.number(),
    queueWait: z.number()
  }),
  'admission-refused': z.object({ call: count, ...errorBody }),
  'admission-done': z.object({
    requestId: id,
    endpoint: id,
    outputTokens: count,
    outcome: z.enum(['answered', 'not-run', 'failed', 'withdrawn'])
  }),
  'pins-ask': z.object({ call: count, endpoint: id, token: count }),
  'pins-report': z.object({ call: count, pins: z.array(z.object(pin)) }),
  'endpoint-digest': z.object({
    endpoint: id,
    token: count,
    sequence: count,
    queued: count,
    running: count,
    slots: count,
    pinnedSlots: count,
    batchCapacity: count,
    leaving: z.boolean(),
    healthy: z.boolean(),
    full: z.boolean(),
    added: z.array(z.string().max(400)),
    removed: z.array(z.string().max(400)),
    evictionCost: z.number().min(0)
  }),
  'settings-change': z.object({
    documents: z.array(z.object({
      path: id,
      revision: count,
      text: z.string().optional(),
      writeId: id,
      acceptedAt: z.number(),
      author: z.string()
    })),
    answer: z.enum(['whole', 'more', 'unready']).optional(),
    edits: z.array(z.object({
      path: id,
      revision: count,
      writeId: id,
      acceptedAt: z.number(),
      author: z.string(),
      base: id,
      start: count,
      end: count,
      insert: z.string()
    })).optional()
  }),
  'settings-revisions': z.object({ revisions: z.array(z.object({ path: id, revision: count, writeId: id, acceptedAt: z.number() })) }),
  ownership: z.object({ version: count, value: z.unknown() }),
  'hand-over': z.object({
    call: count,
    endpoint: id,
    token: count,
    recovered: z.boolean(),
    loaded: z.array(z.string().max(400)),
    pins: z.array(z.object({ ...pin, instance: id }))
  }),
  'load-turn-ask': z.object({ call: count, turn: id, urgency: z.number() }),
  'load-turn-done': z.object({ turn: id }),
  'team-service': z.object({ tokens: z.array(z.object({ team: id, tokens: z.number() })) }),
  accepted: z.object({ call: count }),
  refused: z.object({ call: count, ...errorBody }),
  'beliefs-offer': z.object({ ...stateRevisions, readMillisecondsAgo: age.optional(), provedMillisecondsAgo: stateAges.optional() }),
  'beliefs-ask': z.object(stateRevisions),
  beliefs: z.object({ configuration: revisedValue, endpoints: changedObjects, announcements: revisedValue, cluster: changedObjects }),
  'relay-load': z.object({
    loads: z.array(z.object({
      endpoint: id,
      requests: count,
      prefillTokens: count,
      memoryTokens: count,
      adapters: z.array(z.tuple([z.string().max(400), count, count]))
    }))
  }),
  'adapters-held': z.object({
    endpoint: id,
    born: count,
    token: count,
    sequence: count,
    held: z.array(z.tuple([z.string().max(400), count])),
    inFlight: z.array(z.string().max(400)),
    waiting: z.array(z.string().max(400)).optional(),
    waitMilliseconds: z.number().min(0).optional(),
    waits: waitsByPriority
  }),
  'load-ask': z.object({
    endpoint: id,
    key: z.string().max(400),
    version: count,
    waiting: z.boolean(),
    request: z.string().max(200).optional(),
    onTimeMilliseconds: z.number().optional(),
    priority: count.optional(),
    shareUsed: z.number().min(0).optional(),
    returnsInMilliseconds: z.number().min(0).max(60_000).optional()
  }),
  'load-refused': z.object({ endpoint: id, key: z.string().max(400), reason: z.string().max(200) }),
  'endpoints-leaving': z.object({ leaving: z.array(id), readMillisecondsAgo: z.number().min(0) }),
  'adapters-changed': z.object({
    endpoint: id,
    born: count,
    token: count,
    sequence: count,
    added: z.array(z.tuple([z.string().max(400), count])),
    removed: z.array(z.string().max(400)),
    inFlight: z.array(z.string().max(400)),
    waitingAdded: z.array(z.string().max(400)),
    waitingRemoved: z.array(z.string().max(400)),
    waitMilliseconds: z.number().min(0),
    waits: waitsByPriority
  }),
  'overlay-role': z.object({ role: z.enum(['hub', 'leaf']) }),
  'overlay-presence': z.object({ connected: z.array(id), leaving: z.array(id), sequence: count.optional() }),
  'overlay-batch': z.object({ items: z.array(z.tuple([id, z.string().max(200), count, z.instanceof(Uint8Array)])), patient: z.array(count).optional(), immediate: z.array(count).optional() }),
  'endpoint-crash': z.object({
    life: id,
    service: id,
    millisecondsAgo: z.number().min(0),
    aboard: z.array(z.tuple([id, z.number().min(0), z.boolean()])),
    accusedRuns: z.array(z.tuple([z.number().min(0), z.array(id)])).optional()
  }),
  'sound-parts': z.object({ parts: z.array(id) }),
  'request-trial': z.object({
    fingerprint: id,
    state: z.enum(['claimed', 'running', 'sent', 'over', 'completed']),
    endpoint: id.optional(),
    milliseconds: z.number().min(0)
  }),
  'request-verdict': z.object({ fingerprint: id, crashes: count, strikes: count, certain: z.boolean(), remainingMilliseconds: z.number().min(0) }),
  'quota-ask': z.object({
    team: id,
    number: count,
    held: z.number().min(0),
    returned: z.number().min(0),
    needs: z.array(z.number().min(0)),
    wanted: z.number().min(0)
  }),
  'quota-answer': z.object({
    team: id,
    number: count,
    granted: z.array(z.boolean()),
    extra: z.number().min(0),
    milliseconds: z.number().min(0),
    notOwner: z.boolean(),
    usedShare: z.number().min(0).optional()
  }),
  'rate-limit': z.object({
    endpoint: id,
    born: z.number(),
    limit: z.number().min(0).optional(),
    sentMillisecondsAgo: z.number().min(0),
    readMillisecondsAgo: z.number().min(0)
  }),
  'rate-ask': z.object({ endpoint: id, number: count, floors: z.array(z.number().min(0).max(1)) }),
  'rate-answer': z.object({ endpoint: id, number: count, granted: z.array(z.boolean()), milliseconds: z.number().min(0), notOwner: z.boolean() }),
  'unreachable-services': z.object({ services: z.array(z.string().max(400)), sequence: count }),
  'brittle-endpoint': z.object({
    endpoint: id,
    born: z.number(),
    limit: z.number().min(0).optional(),
    sentMillisecondsAgo: z.number().min(0),
    readMillisecondsAgo: z.number().min(0),
    refusals: count,
    meanMilliseconds: z.number().min(0).optional()
  }),
  'stream-origins': z.object({ origins: z.array(streamOrigin) }),
  'stream-origin-ask': z.object({ number: count, stream: id.optional(), service: z.string().max(400) }),
  'stream-origin-answer': z.object({ number: count, origin: streamOrigin.optional(), softwareVersions: z.array(z.string().max(200)) }),
  'endpoint-leaving': z.object({ endpoint: id, born: z.number() }),
  'endpoint-backoff': z.object({ endpoint: id, born: z.number(), milliseconds: z.number().min(0) }),
  'engine-samples': z.object({
    engines: z.array(z.tuple([id, count, z.array(z.number().positive()), z.array(z.number().positive())]))
  }),
  'engine-speeds': z.object({ speeds: z.array(z.tuple([id, count, count, z.number().min(0), z.number().min(0), count, count])) }),
  'unbounded-response': z.object({
    endpoint: id,
    born: z.number(),
    state: z.enum(['failed', 'out', 'restored']),
    ejections: count.optional(),
    milliseconds: z.number().min(0).optional()
  }),
  'place-ask': z.object({
    service: z.string().max(400),
    number: count,
    priority: z.number(),
    excluded: z.array(id),
    dataCentre: z.string().max(200),
    onTimeMilliseconds: z.number(),
    timeLeftMilliseconds: z.number()
  }),
  'place-answer': z.object({
    service: z.string().max(400),
    number: count,
    decision: z.enum(['granted', 'queued', 'refused', 'not-owner']),
    endpoint: id.optional(),
    milliseconds: z.number().min(0)
  }),
  'place-return': z.object({
    service: z.string().max(400),
    number: count,
    end: z.enum(['answered', 'error', 'full', 'failed', 'abandoned']),
    milliseconds: z.number().min(0)
  }),
  'work-changed': z.object({ endpoint: id, requests: count, prefillTokens: count, memoryTokens: count })
} as const satisfies Record<FrameKind, z.ZodObject>

/** Kinds of frames, indexed by their number on the wire. */
export const FRAME_KINDS = Object.keys(FRAME_SCHEMAS) as readonly FrameKind[]

/** Names of the fields of each kind, indexed by their position on the wire. */
export const FRAME_FIELDS = Object.fromEntries(
  FRAME_KINDS.map((kind) => [kind, Object.keys(FRAME_SCHEMAS[kind].shape)])
) as unknown as Readonly<Record<FrameKind, readonly string[]>>
