/** Reads of one path: the newest text, a former one, the history, a difference. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { lineDiff, LimpetwinchError } from '@limpetwinch/core'
import type { Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from '../settings/settings-follower.js'
import type { SettingsHistory } from '../settings/settings-history.js'
import { documentResponse, errorResponse, summaryOf, textResponse } from './settings-responses.js'

/** What the reads work with. */
export interface SettingsReadDependencies {
  readonly follower: SettingsFollower
  readonly history: SettingsHistory
}

/**
 * @param reads - what it works with
 * @param path - which path
 * @param query - `history`, `diff=REVISION` with an optional `to=REVISION`, `revision=REVISION`, or nothing
 * @returns the answer
 */
export async function readResponse (reads: SettingsReadDependencies, path: SettingsPath, query: Readonly<Record<string, string>>): Promise<Response> {
  if (Object.hasOwn(query, 'history')) return await historyResponse(reads, path)
  if (query['diff'] !== undefined) return await diffResponse(reads, path, query['diff'], query['to'])
  if (query['revision'] !== undefined) return (await revisionAt(reads, path, query['revision'])).andThen(set).match(documentResponse, errorResponse)
  const newest = reads.follower.document(path)
  return newest === undefined ? errorResponse(new LimpetwinchError('no-settings', { path })) : set(newest).match(documentResponse, errorResponse)
}

async function historyResponse (reads: SettingsReadDependencies, path: SettingsPath): Promise<Response> {
  const newest = reads.follower.document(path)
  if (newest === undefined) return errorResponse(new LimpetwinchError('no-settings', { path }))
  const kept = await reads.history.list(path)
  // What stands beyond the newest revision is of a time before the store was restored.
  return kept.match((former) => {
    const revisions = [newest, ...former.filter((document) => document.revision < newest.revision)].map(summaryOf)
    return Response.json({ path, revisions })
  }, errorResponse)
}

async function diffResponse (reads: SettingsReadDependencies, path: SettingsPath, from: string, to: string | undefined): Promise<Response> {
  const former = await revisionAt(reads, path, from)
  if (former.isErr()) return errorResponse(former.error)
  const later = await revisionAt(reads, path, to ?? String(reads.follower.document(path)?.revision ?? 0))
  return later.match((document) => textResponse(lineDiff(former.value?.text ?? '', document.text ?? '')), errorResponse)
}

async function revisionAt (reads: SettingsReadDependencies, path: SettingsPath, written: string): Promise<Result<SettingsDocument, LimpetwinchError>> {
  const newest = reads.follower.document(path)
  if (newest === undefined) return err(new LimpetwinchError('no-settings', { path }))
  if (!/^\d{1,15}$/.test(written)) return err(revisionNotKept(path, written, newest.revision))
  const revision = Number(written) as Revision
  if (revision === newest.revision) return ok(newest)
  const kept = revision > newest.revision ? ok(undefined) : await reads.history.at(path, revision)
  return kept.andThen((document) => document === undefined ? err(revisionNotKept(path, written, newest.revision)) : ok(document))
}

function revisionNotKept (path: SettingsPath, revision: string, newest: Revision): LimpetwinchError {
  return new LimpetwinchError('no-such-revision', { path, revision: revision.slice(0, 20), kept: `the last ones up to ${newest}, as the history lists them` })
}

function set (document: SettingsDocument): Result<SettingsDocument, LimpetwinchError> {
  return document.text === undefined ? err(new LimpetwinchError('no-settings', { path: document.path })) : ok(document)
}
