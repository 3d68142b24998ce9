/** A codec for tests, with plain header names. */
import { adapterKey, digestOfKey, RequestCodec } from '@limpetwinch/ingress'
import type { ResponseFacts, RequestFacts, SendFacts } from '@limpetwinch/ingress'

/** Reads and writes the headers `x-request-id`, `x-server-signature`, `x-not-run`, `x-adapter`, `x-model`, `x-after`, `x-secret`, `x-team`, `x-limit`, `x-full`. */
export class TestCodec extends RequestCodec {
  override read (headers: NodeJS.Dict<string | string[]>): RequestFacts {
    const name = headers['x-adapter'] as string | undefined
    const hasModel = name !== undefined || headers['x-model'] !== undefined
    return {
      requestId: String(headers['x-request-id'] ?? ''),
      caller: headers.authorization as string | undefined,
      deadlineMilliseconds: headers['x-milliseconds'] === undefined ? undefined : Number(headers['x-milliseconds']),
      adapter: hasModel ? { model: 'base', name, key: adapterKey('base', name) } : undefined,
      key: headers['x-secret'] === undefined ? undefined : digestOfKey(String(headers['x-secret'])),
      tokens: 'stated',
      promptTokens: 100,
      outputTokens: 10,
      promptParts: [],
      lastEventId: headers['x-after'] as string | undefined,
      firstAttempt: headers['x-first-attempt'] as string | undefined
    }
  }

  override isSystemHeader (name: string): boolean {
    return name === 'x-secret' || name === 'x-team' || name === 'x-endpoint' || name === 'x-after' || name === 'x-milliseconds'
  }

  override write (facts: SendFacts): string[] {
    const after = facts.lastEventId === undefined ? [] : ['x-after', facts.lastEventId]
    const team = facts.team === undefined ? [] : ['x-team', facts.team]
    return [...team, 'x-endpoint', facts.endpoint, 'x-milliseconds', String(Math.floor(facts.millisecondsLeft)), ...after]
  }

  override readResponse (_status: number, headers: Record<string, string | string[] | undefined>): ResponseFacts {
    const limit = headers['x-limit'] as string | undefined
    return {
      requestId: headers['x-request-id'] as string | undefined,
      signed: headers['x-server-signature'] !== undefined,
      notRun: headers['x-not-run'] !== undefined,
      encoded: headers['content-encoding'] !== undefined,
      rateLimit: limit === undefined ? undefined : Number.isNaN(Number(limit)) ? 'malformed' : Number(limit),
      refusalLimit: undefined,
      isFull: headers['x-full'] !== undefined,
      backoffMilliseconds: headers['x-backoff'] === undefined ? undefined : Number(headers['x-backoff']),
      isLeaving: headers['x-leaving'] !== undefined,
      answeredBy: undefined
    }
  }
}
