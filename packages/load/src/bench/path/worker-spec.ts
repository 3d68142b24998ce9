/** What a load worker is told, and what it answers. */
import { z } from 'zod'
import type { MetricsSummary } from '../../driving/load-metrics.js'

/** The work of one process. */
export const workerSpecSchema = z.object({
  entry: z.string(),
  key: z.string(),
  engines: z.array(z.string()),
  models: z.array(z.string()).min(1),
  seed: z.int(),
  seconds: z.number().positive(),
  promptTokens: z.int().positive(),
  outputTokens: z.int().positive(),
  load: z.discriminatedUnion('mode', [
    /** So many callers, each sending its next request after its last. */
    z.object({ mode: z.literal('closed'), callers: z.int().positive() }),
    /** Requests a second through the instance and straight to the engines, both at once. */
    z.object({ mode: z.literal('open'), throughRate: z.number().min(0), straightRate: z.number().min(0) })
  ])
})

/** The work of one process. */
export type WorkerSpec = z.infer<typeof workerSpecSchema>

/** What it measured. */
export interface WorkerResult {
  readonly through: MetricsSummary
  readonly straight: MetricsSummary
}
