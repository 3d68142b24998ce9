/** Turns schema errors into problems that name the position in the text and tell the operator what to write instead. */
import { z } from 'zod'
import { nearestKey } from './nearest-key.js'
import { MAXIMUM_PROBLEMS, offsetOf, problemAt } from './settings-text.js'
import type { ParsedText, SettingsProblem } from './settings-text.js'

type Issue = z.core.$ZodIssue
type Place = readonly (string | number)[]

/**
 * Checks a parsed text against a schema.
 *
 * @param schema - the schema
 * @param text - the text, used to determine lines and columns
 * @param parsed - the value and the syntax tree of the text
 * @returns the value with defaults filled in, or the first problems, up to {@link MAXIMUM_PROBLEMS}
 */
export function checkBySchema<Value> (schema: z.ZodType<Value>, text: string, parsed: ParsedText): { value: Value } | { problems: SettingsProblem[] } {
  const result = schema.safeParse(parsed.value, { reportInput: true })
  if (result.success) return { value: result.data }
  const issues = result.error.issues.slice(0, MAXIMUM_PROBLEMS)
  return { problems: issues.flatMap((issue) => problemsOfIssue(schema, text, parsed, issue)).slice(0, MAXIMUM_PROBLEMS) }
}

function problemsOfIssue (schema: z.ZodType, text: string, parsed: ParsedText, issue: Issue): SettingsProblem[] {
  const place = issue.path.map((part) => typeof part === 'number' ? part : String(part))
  if (issue.code === 'unrecognized_keys') {
    const known = knownKeys(schema, place)
    return issue.keys.slice(0, MAXIMUM_PROBLEMS).map((key) => {
      const offset = offsetOf(parsed.root, [...place, key], true)
      return problemAt(text, offset, [...place, key].join('.'), unknownKeyMessage(key, known))
    })
  }
  const offset = offsetOf(parsed.root, place, issue.code === 'invalid_key')
  return [problemAt(text, offset, place.join('.'), messageOf(issue, parsed.value, place))]
}

/** @returns the message for an unknown key, which names the nearest known key or else lists all known keys */
export function unknownKeyMessage (key: string, known: readonly string[]): string {
  const nearest = nearestKey(key, known)
  const choice = nearest === undefined ? `use one of ${known.map((word) => `'${word}'`).join(', ')}` : `write '${nearest}'`
  return `'${key.slice(0, 80)}' is not known here; ${choice}`
}

function messageOf (issue: Issue, value: unknown, place: Place): string {
  switch (issue.code) {
    case 'invalid_type': {
      const missing = valueAt(value, place) === undefined
      return missing ? `this is missing; write ${expectedValue(issue.expected)}` : `this has the wrong type; write ${expectedValue(issue.expected)}`
    }
    case 'too_small':
      return issue.origin === 'array'
        ? `the list is too short; write at least ${issue.minimum} entries`
        : `this is too small; write ${issue.inclusive === false ? 'a number above' : 'at least'} ${issue.minimum}`
    case 'too_big':
      return `this is too large; write at most ${issue.maximum}`
    case 'invalid_value':
      return `this is not allowed; write ${issue.values.map((allowed) => JSON.stringify(allowed)).join(' or ')}`
    case 'invalid_key':
      return `this key is not allowed; ${issue.issues[0]?.message ?? 'choose another'}`
    case 'invalid_format':
      return issue.format === 'url' ? "this is not a URL; write one such as 'http://127.0.0.1:9000'" : `this is not allowed; ${issue.message}`
    default:
      return issue.message
  }
}

function expectedValue (expected: string): string {
  const names: Readonly<Record<string, string>> = {
    record: 'an object in braces',
    object: 'an object in braces',
    array: 'a list in brackets',
    string: 'text in double quotes',
    number: 'a number',
    int: 'a whole number',
    boolean: 'true or false'
  }
  return names[expected] ?? expected
}

function valueAt (value: unknown, place: Place): unknown {
  return place.reduce<unknown>((inside, part) => (inside as Record<string | number, unknown> | undefined)?.[part], value)
}

/** @returns the keys that the schema allows for the object at a place, or none if there is no such object */
function knownKeys (schema: z.ZodType, place: Place): readonly string[] {
  let inner = withoutWrappers(schema)
  for (const part of place) {
    if (inner instanceof z.ZodObject) inner = withoutWrappers((inner.shape as Record<string, z.ZodType>)[String(part)])
    else if (inner instanceof z.ZodRecord) inner = withoutWrappers(inner.valueType as z.ZodType)
    else if (inner instanceof z.ZodArray) inner = withoutWrappers(inner.element as z.ZodType)
    else return []
  }
  return inner instanceof z.ZodObject ? Object.keys(inner.shape as object) : []
}

function withoutWrappers (schema: z.ZodType | undefined): z.ZodType | undefined {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault || schema instanceof z.ZodOptional) {
    return withoutWrappers(schema.def.innerType as z.ZodType)
  }
  return schema
}
