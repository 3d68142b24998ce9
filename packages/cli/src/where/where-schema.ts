/** The answer of one ingress instance to where a request would go; fields that a newer release adds are kept. */
import { z } from 'zod'

const outcomeSchema = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('sent'), endpoint: z.string() }),
  z.looseObject({ kind: z.literal('load'), endpoint: z.string(), waitMilliseconds: z.number(), longestWaitMilliseconds: z.number() }),
  z.looseObject({ kind: z.literal('wait'), waitMilliseconds: z.number() }),
  z.looseObject({ kind: z.literal('refused'), error: z.string(), status: z.number(), message: z.string(), afterMilliseconds: z.number(), retryAfterSeconds: z.number().optional() })
])

/** The answer of one instance. */
export const whereSchema = z.looseObject({
  instance: z.string(),
  route: z.string().optional(),
  service: z.string().optional(),
  priority: z.number().optional(),
  configuration: z.number(),
  outcome: outcomeSchema,
  candidates: z.array(z.looseObject({
    endpoint: z.string(),
    dataCentre: z.string(),
    use: z.enum(['run', 'load']),
    cost: z.number(),
    items: z.record(z.string(), z.number()),
    ages: z.record(z.string(), z.number())
  })),
  unused: z.record(z.string(), z.array(z.string())),
  sections: z.record(z.string(), z.record(z.string(), z.unknown())).default({})
})

/** The answer of one instance. */
export type Where = z.infer<typeof whereSchema>
