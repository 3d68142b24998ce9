/** Schemas of the request bodies of the stand-in engine. */
import { z } from 'zod'

/** Body of `POST /generate`. */
export const generateSchema = z.object({
  requestId: z.string().min(1),
  adapter: z.string().optional(),
  prompt: z.string(),
  maximumTokens: z.int().min(1).max(1_000_000),
  priority: z.number(),
  temperature: z.number().optional(),
  seed: z.number().optional()
})

/** Body of `POST /adapters/load`. */
export const loadSchema = z.object({
  name: z.string().min(1),
  token: z.number(),
  source: z.object({ team: z.string(), adapter: z.string(), version: z.string() })
})

/** Body of `POST /adapters/unload`. */
export const unloadSchema = z.object({ name: z.string().min(1), token: z.number() })

/** Body of `POST /configure`. */
export const configureSchema = z.object({
  baseModel: z.string().optional(),
  role: z.string().optional(),
  token: z.number()
})

/** Body of `POST /control/restart`. */
export const restartSchema = z.object({
  /** Time for which the engine refuses requests and load orders after the restart, in milliseconds. */
  startMilliseconds: z.number().min(0).default(0)
})

/** Body of `POST /control/faults`. */
export const engineFaultsSchema = z.strictObject({
  /** Number of next loads that fail. */
  failLoads: z.int().min(0).optional(),
  /** Adapters `team/adapter@version` whose loads fail. */
  failLoadsOf: z.array(z.string()).optional(),
  /** Delay added to each load, in milliseconds. */
  slowLoads: z.number().min(0).optional(),
  /** Whether new requests are refused. */
  refuse: z.boolean().optional(),
  /** Number of next streams that are closed after `dropAfterTokens`; their requests keep running. */
  dropStreams: z.int().min(0).optional(),
  /** Number of tokens that a stream sends before it is closed. */
  dropAfterTokens: z.int().min(0).optional(),
  /** Every part whose number is a multiple of this is sent twice; 0 for none. */
  duplicateEvery: z.int().min(0).optional(),
  /** Every part whose number is a multiple of this is sent after the next part; 0 for none. */
  lateEvery: z.int().min(0).optional(),
  /** Whether cancellations are acknowledged but not carried out. */
  ignoreCancel: z.boolean().optional(),
  /** Delay of the report, in milliseconds. */
  reportLag: z.number().min(0).optional(),
  /** Duration of a batch step, in milliseconds. */
  stepMilliseconds: z.number().min(1).optional(),
  /** Makes all open connections unresponsive; new connections work. */
  silenceConnections: z.boolean().optional(),
  /** Number of next connections that are accepted but stay unresponsive. */
  silentConnections: z.int().min(0).optional()
})

/** A generation request. */
export type GenerateBody = z.infer<typeof generateSchema>
/** A load order. */
export type LoadBody = z.infer<typeof loadSchema>
/** Faults of the stand-in engine; faults that are not given stay unchanged. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>
