/** Schemas of an instance's status. Fields that only a newer release sends are ignored; missing fields are shown as unknown. */
import { z } from 'zod'

const slotSchema = z.object({ name: z.string().optional(), state: z.string(), pins: z.number(), waiting: z.number().optional() })

const endpointSchema = z.object({
  endpoint: z.string(),
  dataCentre: z.string(),
  baseModel: z.string(),
  owner: z.string().optional(),
  token: z.number().optional(),
  healthy: z.boolean(),
  leaving: z.boolean(),
  queued: z.number(),
  running: z.number(),
  slots: z.number(),
  adapters: z.array(z.string()),
  owned: z.object({
    slots: z.array(slotSchema),
    runningByTeam: z.record(z.string(), z.number()).default({}),
    batchFill: z.number().optional()
  }).optional()
})

const memberSchema = z.object({ instance: z.string(), dataCentre: z.string(), address: z.string(), state: z.string(), storeReachable: z.boolean().optional() })

const countSchema = z.object({ sent: z.number(), received: z.number(), bytesSent: z.number(), bytesReceived: z.number() })

/** Schema of the response of `/admin/status`. */
export const statusSchema = z.object({
  instance: z.object({ instance: z.string(), dataCentre: z.string(), address: z.string() }),
  ready: z.boolean(),
  stopping: z.boolean(),
  requestsInProgress: z.number(),
  members: z.array(memberSchema),
  leavingEndpoints: z.array(z.string()).default([]),
  endpoints: z.array(endpointSchema),
  settings: z.object({ paths: z.number(), teams: z.number() }).optional(),
  frames: z.record(z.string(), countSchema).default({}),
  storeCalls: z.record(z.string(), z.unknown()).optional(),
  process: z.record(z.string(), z.unknown()).optional()
})

const timesSchema = z.object({ p50: z.number(), p99: z.number() })

/** Schema of the response of `/admin/histograms`. */
export const histogramsSchema = z.object({
  series: z.array(z.object({
    team: z.string(),
    class: z.string(),
    outcomes: z.record(z.string(), z.number()).default({}),
    milliseconds: z.record(z.string(), timesSchema).default({})
  }))
})

/** Status of an instance. */
export type InstanceStatus = z.infer<typeof statusSchema>
/** Outcome counts and duration percentiles of an instance, by team and class. */
export type TeamHistograms = z.infer<typeof histogramsSchema>['series']
