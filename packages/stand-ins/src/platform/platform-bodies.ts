/** Schemas of the request bodies of the stand-in platform. */
import type { DataCentreId } from '@limpetwinch/core'
import { z } from 'zod'

/** Body of `PUT /objects`. */
export const writeSchema = z.object({
  path: z.string().min(1),
  ifVersion: z.int().min(0),
  value: z.unknown()
})

/** Body of `PUT /control/instances`. */
export const instanceSchema = z.object({
  id: z.string().min(1),
  kind: z.enum(['entry', 'endpoint']),
  address: z.string(),
  dataCentre: z.string().transform((text) => text as DataCentreId),
  state: z.enum(['live', 'leaving'])
})

/** Body of `POST /control/faults`. */
export const platformFaultsSchema = z.strictObject({
  /** Whether every call to the object API and the instance list fails with status 503. */
  outage: z.boolean().optional(),
  /** Delay added to each call of the object API, in milliseconds. */
  slowness: z.number().min(0).optional(),
  /** Number of next writes that take effect but whose connection is closed without a response. */
  loseAnswers: z.int().min(0).optional(),
  /** Age of the state that reads return, in milliseconds. */
  staleReads: z.number().min(0).optional(),
  /** Whether all transfers of weights fail. */
  weightsOutage: z.boolean().optional(),
  /** Factor on the duration of each transfer of weights. */
  weightsSlowness: z.number().positive().optional(),
  /** Adapters `team/adapter@version` without weights. */
  missingWeights: z.array(z.string()).optional(),
  /** Delay of the instance list, in milliseconds. */
  listLag: z.number().min(0).optional(),
  /** Makes all open connections unresponsive; new connections work. */
  silenceConnections: z.boolean().optional(),
  /** Number of next connections that are accepted but stay unresponsive. */
  silentConnections: z.int().min(0).optional()
})

/** Faults of the stand-in platform; faults that are not given stay unchanged. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>
