/** Responses of the settings routes. */
import type { LimpetwinchError, SettingsDocument, SettingsProblem } from '@limpetwinch/core'

/** Value of the `Retry-After` header of a response with status 503 when the error itself names no time. */
const UNAVAILABLE_RETRY_SECONDS = 2

/** A settings document without its text, for lists and for responses to writes. */
export interface SettingsSummary {
  readonly path: string
  readonly revision: number
  readonly deleted: boolean
  readonly author: string
  /** Wall-clock time at which the change was accepted, in milliseconds. */
  readonly acceptedAt: number
}

/** @returns the document without its text */
export function summaryOf (document: SettingsDocument): SettingsSummary {
  const { path, revision, text, author, acceptedAt } = document
  return { path, revision, deleted: text === undefined, author, acceptedAt }
}

/** @returns a response with the text of a document as JSON with comments, and its revision as ETag */
export function documentResponse (document: SettingsDocument): Response {
  return new Response(document.text, {
    headers: {
      'content-type': 'application/jsonc; charset=utf-8',
      etag: `"${document.revision}"`,
      'x-limpetwinch-author': encodeURI(document.author)
    }
  })
}

/** @returns the response to an accepted change */
export function acceptedResponse (document: SettingsDocument): Response {
  return Response.json(summaryOf(document), { headers: { etag: `"${document.revision}"` } })
}

/** @returns a response with plain text */
export function textResponse (text: string): Response {
  return new Response(text, { headers: { 'content-type': 'text/plain; charset=utf-8' } })
}

/**
 * @returns the response for an error: its code, its message with the remedy, and the details that the client needs to
 *   continue
 */
export function errorResponse (error: LimpetwinchError): Response {
  const { newest, text, list } = error.details
  const body = {
    code: error.code,
    message: error.message,
    outcome: error.outcome,
    ...(list === undefined ? {} : { problems: list as readonly SettingsProblem[] }),
    // A conflict includes the newest revision and text, so that the operator can base the change on it without another call.
    ...(newest === undefined ? {} : { newest, text })
  }
  const headers: Record<string, string> = {}
  const retryAfter = error.retryAfterSeconds ?? (error.status === 503 ? UNAVAILABLE_RETRY_SECONDS : undefined)
  if (retryAfter !== undefined) headers['retry-after'] = String(retryAfter)
  if (typeof newest === 'number') headers['etag'] = `"${newest}"`
  return Response.json({ error: body }, { status: error.status, headers })
}
