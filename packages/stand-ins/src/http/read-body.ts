/** Reads and validates request bodies. */
import type { Context } from 'hono'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { StandInEnvironment } from './stand-in-server.js'
import { refuse } from './stand-in-server.js'

/**
 * Reads a JSON body.
 *
 * @param context - the request
 * @param schema - schema of the body
 * @returns the body, or the response that refuses the request
 */
export async function readBody<Body> (context: Context<StandInEnvironment>, schema: z.ZodType<Body>): Promise<Result<Body, Response>> {
  let body: unknown
  try {
    body = await context.req.json()
  } catch {
    return err(refuse(context, 400, 'invalid-request', 'The body is not JSON; send one JSON object.'))
  }
  const parsed = schema.safeParse(body)
  if (parsed.success) return ok(parsed.data)
  return err(refuse(context, 400, 'invalid-request', z.prettifyError(parsed.error)))
}
