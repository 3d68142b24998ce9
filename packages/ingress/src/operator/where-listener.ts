/** Answers `GET /where` at the metrics address with where a described request would go now. */
import type { RequestExplainer } from './request-explainer.js'
import { readWhereQuery } from './where-query.js'

/** Path of the question. */
export const WHERE_PATH = '/where'
const OK = 200
const BAD_REQUEST = 400

/** @returns status and JSON body of the answer to a question with this query */
export function answerWhere (explainer: Pick<RequestExplainer, 'explain'>, query: URLSearchParams): { readonly status: number, readonly body: string } {
  const request = readWhereQuery(query)
  if (request.isErr()) return { status: BAD_REQUEST, body: JSON.stringify({ error: { code: 'invalid_request', message: request.error } }) }
  return { status: OK, body: JSON.stringify(explainer.explain(request.value)) }
}
