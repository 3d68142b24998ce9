/** Applies patches to settings texts. The comments and the layout of the text are kept. */
import { applyEdits, modify } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { parseSettingsText } from './settings-text.js'

/** A value to write at one place in a document. The value undefined removes the value at that place. */
export interface PlacedValue {
  /** Keys from the root. For a list the key is an index, or `-` to append at the end of the list. */
  readonly place: readonly string[]
  readonly value: unknown
}

/** A change of a document: a JSON merge patch, or values for single places, applied in order. */
export type SettingsPatch =
  | { readonly kind: 'merge', readonly patch: unknown }
  | { readonly kind: 'values', readonly values: readonly PlacedValue[] }

const FORMATTING = { insertSpaces: true, tabSize: 2, eol: '\n' }
const EMPTY_DOCUMENT = '{}\n'
/** The index by which jsonc-parser appends to a list. */
const END_OF_LIST = -1

/**
 * Applies a patch to a text. Text that the patch does not name is not changed.
 *
 * @param text - JSON with comments, or undefined for an empty document
 * @param patch - the patch to apply
 * @returns the new text, or the error `invalid-patch`
 */
export function patchText (text: string | undefined, patch: SettingsPatch): Result<string, LimpetwinchError> {
  const before = text ?? EMPTY_DOCUMENT
  if ('problems' in parseSettingsText(before)) return refused('the document to change is not JSON with comments; replace the whole document')
  try {
    if (patch.kind === 'values') {
      return patch.values.reduce<Result<string, LimpetwinchError>>((text, { place, value }) => text.andThen((present) => setValueAt(present, place, value)), ok(before))
    }
    if (!isObject(patch.patch)) return refused('a merge patch is one JSON object; write null for a key to remove it')
    return ok(merge(before, [], patch.patch))
  } catch (cause) {
    // jsonc-parser throws if a place leads through a number or a string.
    return refused(cause instanceof Error ? cause.message : String(cause))
  }
}

/** Applies a merge patch key by key, because replacing a whole object would lose the comments inside it. */
function merge (text: string, place: readonly string[], patch: Record<string, unknown>): string {
  let changed = text
  for (const [key, value] of Object.entries(patch)) {
    const inside = [...place, key]
    if (isObject(value)) {
      if (!isObject(valueAt(changed, inside))) changed = editValueAt(changed, inside, {})
      changed = merge(changed, inside, value)
    } else {
      const present = valueAt(changed, inside)
      if (value === null && present === undefined) continue
      // An equal value is not written again, because that would lose the comments inside it.
      if (JSON.stringify(present) !== JSON.stringify(value)) changed = editValueAt(changed, inside, value ?? undefined)
    }
  }
  return changed
}

function setValueAt (text: string, written: readonly string[], value: unknown): Result<string, LimpetwinchError> {
  const place = resolveListIndexes(text, written)
  if (place.length === 0) return refused('the place must name at least one key; to replace everything, put the whole document')
  if (value === undefined && valueAt(text, place) === undefined) return refused(`there is nothing at '${place.join('.')}' to remove`)
  return ok(editValueAt(text, place, value))
}

/** Converts keys to list indexes where the document has a list. Digits are an index in a list, but a key in an object. */
function resolveListIndexes (text: string, written: readonly string[]): (string | number)[] {
  const place: (string | number)[] = []
  for (const part of written) {
    const inList = Array.isArray(valueAt(text, place))
    if (inList && part === '-') place.push(END_OF_LIST)
    else place.push(inList && /^\d{1,6}$/.test(part) ? Number(part) : part)
  }
  return place
}

function editValueAt (text: string, place: readonly (string | number)[], value: unknown): string {
  return applyEdits(text, modify(text, [...place], value, { formattingOptions: FORMATTING }))
}

function valueAt (text: string, place: readonly (string | number)[]): unknown {
  const parsed = parseSettingsText(text)
  let value: unknown = 'parsed' in parsed ? parsed.parsed.value : undefined
  for (const part of place) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part)) return undefined
    value = (value as Record<string | number, unknown>)[part]
  }
  return value
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function refused (reason: string): Result<never, LimpetwinchError> {
  return err(new LimpetwinchError('invalid-patch', { reason }))
}
