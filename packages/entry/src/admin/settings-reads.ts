/** Read requests for one settings path: the newest text, an earlier revision, the history, or a diff. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { lineDiff, LimpetwinchError } from '@limpetwinch/core'
import type { Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from '../settings/settings-follower.js'
import type { SettingsHistory } from '../settings/settings-history.js'
import { documentResponse, errorResponse, summaryOf, textResponse } from './settings-responses.js'

/** Dependencies of the read requests. */
export interface SettingsReadDependencies {
  readonly follower: SettingsFollower
  readonly history: SettingsHistory
}

/**
 * @param dependencies - the sources of documents
 * @param path - the settings path to read
 * @param query - `history`, `diff=REVISION` with an optional `to=REVISION`, `revision=REVISION`, or nothing for the newest text
 * @returns the response
 */
export async function readResponse (dependencies: SettingsReadDependencies, path: SettingsPath, query: Readonly<Record<string, string>>): Promise<Response> {
  if (Object.hasOwn(query, 'history')) return await historyResponse(dependencies, path)
  if (query['diff'] !== undefined) return await diffResponse(dependencies, path, query['diff'], query['to'])
  if (query['revision'] !== undefined) return (await revisionAt(dependencies, path, query['revision'])).andThen(requireText).match(documentResponse, errorResponse)
  const newest = dependencies.follower.document(path)
  return newest === undefined ? errorResponse(new LimpetwinchError('no-settings', { path })) : requireText(newest).match(documentResponse, errorResponse)
}

async function historyResponse (dependencies: SettingsReadDependencies, path: SettingsPath): Promise<Response> {
  const newest = dependencies.follower.document(path)
  if (newest === undefined) return errorResponse(new LimpetwinchError('no-settings', { path }))
  const kept = await dependencies.history.list(path)
  // The history may contain revisions above the newest one that this instance knows. Such revisions were written before the
  // store was restored from a backup, and are left out of the response.
  return kept.match((earlier) => {
    const revisions = [newest, ...earlier.filter((document) => document.revision < newest.revision)].map(summaryOf)
    return Response.json({ path, revisions })
  }, errorResponse)
}

async function diffResponse (dependencies: SettingsReadDependencies, path: SettingsPath, from: string, to: string | undefined): Promise<Response> {
  const earlier = await revisionAt(dependencies, path, from)
  if (earlier.isErr()) return errorResponse(earlier.error)
  const later = await revisionAt(dependencies, path, to ?? String(dependencies.follower.document(path)?.revision ?? 0))
  return later.match((document) => textResponse(lineDiff(earlier.value?.text ?? '', document.text ?? '')), errorResponse)
}

async function revisionAt (dependencies: SettingsReadDependencies, path: SettingsPath, written: string): Promise<Result<SettingsDocument, LimpetwinchError>> {
  const newest = dependencies.follower.document(path)
  if (newest === undefined) return err(new LimpetwinchError('no-settings', { path }))
  if (!/^\d{1,15}$/.test(written)) return err(revisionNotKept(path, written, newest.revision))
  const revision = Number(written) as Revision
  if (revision === newest.revision) return ok(newest)
  const kept = revision > newest.revision ? ok(undefined) : await dependencies.history.at(path, revision)
  return kept.andThen((document) => document === undefined ? err(revisionNotKept(path, written, newest.revision)) : ok(document))
}

function revisionNotKept (path: SettingsPath, revision: string, newest: Revision): LimpetwinchError {
  return new LimpetwinchError('no-such-revision', { path, revision: revision.slice(0, 20), kept: `the last ones up to ${newest}, as the history lists them` })
}

function requireText (document: SettingsDocument): Result<SettingsDocument, LimpetwinchError> {
  return document.text === undefined ? err(new LimpetwinchError('no-settings', { path: document.path })) : ok(document)
}
