/** Bodies that the stand-in platform takes. */
import type { DataCentreId } from '@limpetwinch/core'
import { z } from 'zod'

/** `PUT /objects`. */
export const writeSchema = z.object({
  path: z.string().min(1),
  ifVersion: z.int().min(0),
  value: z.unknown()
})

/** `PUT /control/instances`. */
export const instanceSchema = z.object({
  id: z.string().min(1),
  kind: z.enum(['entry', 'endpoint']),
  address: z.string(),
  dataCentre: z.string().transform((text) => text as DataCentreId),
  state: z.enum(['live', 'leaving'])
})

/** `POST /control/faults`. */
export const platformFaultsSchema = z.strictObject({
  /** Every call to the object API and the list answers 503. */
  outage: z.boolean().optional(),
  /** Added to each call of the object API, milliseconds. */
  slowness: z.number().min(0).optional(),
  /** So many of the next writes take effect, and their connection is cut without an answer. */
  loseAnswers: z.int().min(0).optional(),
  /** Reads show what was true so many milliseconds ago. */
  staleReads: z.number().min(0).optional(),
  /** No weights can be had. */
  weightsOutage: z.boolean().optional(),
  /** Multiplies the time of each transfer of weights. */
  weightsSlowness: z.number().positive().optional(),
  /** Adapters `team/adapter@version` without weights. */
  missingWeights: z.array(z.string()).optional(),
  /** Lag of the instance list, milliseconds. */
  listLag: z.number().min(0).optional(),
  /** Nothing passes any more on the connections that are open. */
  silenceConnections: z.boolean().optional(),
  /** So many of the next connections are accepted, and nothing is said on them. */
  silentConnections: z.int().min(0).optional()
})

/** Faults of the stand-in platform; those not named stay as they are. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>
