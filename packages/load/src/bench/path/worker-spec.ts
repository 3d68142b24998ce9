/** Specification and result of a load worker process. */
import { z } from 'zod'
import type { MetricsSummary } from '../../driving/load-metrics.js'

/** Schema of the specification of one worker. */
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
    /** A number of callers; each sends its next request when its previous one has ended. */
    z.object({ mode: z.literal('closed'), callers: z.int().positive() }),
    /** Requests per second through the instance and directly to the engines, concurrently. */
    z.object({ mode: z.literal('open'), throughRate: z.number().min(0), straightRate: z.number().min(0) })
  ])
})

/** Specification of one worker. */
export type WorkerSpec = z.infer<typeof workerSpecSchema>

/** Measurements of one worker: through the instance, and directly at the engines. */
export interface WorkerResult {
  readonly through: MetricsSummary
  readonly straight: MetricsSummary
}
