/** Parses what operators send in settings requests: revisions, texts and patches. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '@limpetwinch/core'
import type { PlacedValue, Revision, SettingsPatch, SettingsPath } from '@limpetwinch/core'
import { parseJson } from '../callers/body-reader.js'

/** Content type of a JSON merge patch. */
export const MERGE_PATCH_TYPE = 'application/merge-patch+json'

const changeSchema = z.strictObject({
  place: z.string().regex(/^(\/[^/]+)+$/, "write the place as '/key/key', such as '/adapters/poem/current'"),
  value: z.unknown().optional()
})
const changesSchema = z.union([changeSchema.transform((change) => [change]), z.array(changeSchema).min(1).max(1_000)])

/**
 * @param header - the value of the `If-Match` header, such as `"3"`
 * @param path - the settings path, which the error names
 * @returns the revision, or the error `revision-needed`
 */
export function revisionOf (header: string | undefined, path: SettingsPath): Result<Revision, LimpetwinchError> {
  const digits = /^"?(\d{1,15})"?$/.exec(header?.trim() ?? '')?.[1]
  if (digits === undefined) return err(new LimpetwinchError('revision-needed', { path }))
  return ok(Number(digits) as Revision)
}

/** @returns the text of a body, or the error `malformed-json` when it is not UTF-8 */
export function textOf (body: Buffer): Result<string, LimpetwinchError> {
  try {
    return ok(new TextDecoder('utf-8', { fatal: true, ignoreBOM: false }).decode(body))
  } catch (cause) {
    return err(new LimpetwinchError('malformed-json', { reason: 'it is not UTF-8' }, { cause }))
  }
}

/**
 * @param contentType - the content type of the request, which distinguishes a merge patch from a list of values
 * @param body - a JSON merge patch, or one object `{"place": "/key/key", "value": …}`, or a list of such objects; an object
 *   without `value` removes its key
 * @returns the patch, or the error `malformed-json` or `invalid-patch`
 */
export function patchOf (contentType: string | undefined, body: Buffer): Result<SettingsPatch, LimpetwinchError> {
  return parseJson(body).andThen((value): Result<SettingsPatch, LimpetwinchError> => {
    if (contentType?.split(';', 1)[0]?.trim().toLowerCase() === MERGE_PATCH_TYPE) return ok({ kind: 'merge', patch: value })
    const changes = changesSchema.safeParse(value)
    if (changes.success) return ok({ kind: 'values', values: changes.data.map(placedValue) })
    const reason = `send {"place": "/key/key", "value": …}, a list of such, or a merge patch as ${MERGE_PATCH_TYPE}`
    return err(new LimpetwinchError('invalid-patch', { reason }))
  })
}

function placedValue ({ place, value }: z.infer<typeof changeSchema>): PlacedValue {
  return { place: place.slice(1).split('/').map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~')), value }
}
