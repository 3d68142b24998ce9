/** Bodies that the stand-in engine takes. */
import { z } from 'zod'

/** `POST /generate`. */
export const generateSchema = z.object({
  requestId: z.string().min(1),
  adapter: z.string().optional(),
  prompt: z.string(),
  maximumTokens: z.int().min(1).max(1_000_000),
  priority: z.number(),
  temperature: z.number().optional(),
  seed: z.number().optional()
})

/** `POST /adapters/load`. */
export const loadSchema = z.object({
  name: z.string().min(1),
  token: z.number(),
  source: z.object({ team: z.string(), adapter: z.string(), version: z.string() })
})

/** `POST /adapters/unload`. */
export const unloadSchema = z.object({ name: z.string().min(1), token: z.number() })

/** `POST /configure`. */
export const configureSchema = z.object({
  baseModel: z.string().optional(),
  role: z.string().optional(),
  token: z.number()
})

/** `POST /control/restart`. */
export const restartSchema = z.object({
  /** How long the engine refuses requests while it starts, milliseconds. */
  startMilliseconds: z.number().min(0).default(0)
})

/** `POST /control/faults`. */
export const engineFaultsSchema = z.strictObject({
  /** So many of the next loads fail. */
  failLoads: z.int().min(0).optional(),
  /** Loads of these adapters `team/adapter@version` fail. */
  failLoadsOf: z.array(z.string()).optional(),
  /** Added to each load, milliseconds. */
  slowLoads: z.number().min(0).optional(),
  /** New requests are refused. */
  refuse: z.boolean().optional(),
  /** So many of the next streams are cut after `dropAfterTokens`; the requests run on. */
  dropStreams: z.int().min(0).optional(),
  /** Tokens that a stream to be cut still carries. */
  dropAfterTokens: z.int().min(0).optional(),
  /** Every so manyth part is sent twice; 0 for none. */
  duplicateEvery: z.int().min(0).optional(),
  /** Every so manyth part is sent after the one that follows it; 0 for none. */
  lateEvery: z.int().min(0).optional(),
  /** Cancellations are answered and not carried out. */
  ignoreCancel: z.boolean().optional(),
  /** Lag of the report, milliseconds. */
  reportLag: z.number().min(0).optional(),
  /** Duration of a step, milliseconds. */
  stepMilliseconds: z.number().min(1).optional(),
  /** Nothing passes any more on the connections that are open. */
  silenceConnections: z.boolean().optional(),
  /** So many of the next connections are accepted, and nothing is said on them. */
  silentConnections: z.int().min(0).optional()
})

/** A request for text. */
export type GenerateBody = z.infer<typeof generateSchema>
/** An order to load. */
export type LoadBody = z.infer<typeof loadSchema>
/** Faults of the stand-in engine; those not named stay as they are. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>
