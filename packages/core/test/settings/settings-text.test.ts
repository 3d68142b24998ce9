import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { checkSettings, parseAcceptedSettings, parseSettingsText, patchText, positionAt } from '@limpetwinch/core'
import type { SettingsPath } from '@limpetwinch/core'

const SEED = 20_261_202
const RUNS = { seed: SEED, numRuns: 500 }
const PATHS = ['/teams/history', '/shares', '/endpoints', '/policy'] as SettingsPath[]
const TEXT = `{
  // kept
  "adapters": { "poem": { "baseModel": "base", "versions": ["v1", "v2"], "current": "v1" } },
  "limits": { "inFlight": 10 }, /* kept too */
}
`

/** Texts that resemble JSON with comments, most of them invalid. */
const nearJson = fc.array(fc.oneof(
  fc.constantFrom('{', '}', '[', ']', ':', ',', '"', '//', '/*', '*/', '\n', '\r\n', '\\', '\\u12', 'null', 'true', '1e9', '-', '.5', '"a"', '"adapters"', '"__proto__"', '\u0000', '\ud800', '🙂'),
  fc.string({ maxLength: 5 })
), { maxLength: 60 }).map((parts) => parts.join(''))

/** A valid text with one character replaced by up to three others. */
const spoiled = fc.tuple(fc.nat(TEXT.length - 1), fc.string({ maxLength: 3 })).map(([at, replacement]) => TEXT.slice(0, at) + replacement + TEXT.slice(at + 1))

describe('settings text', () => {
  it('does not crash on any text, and every problem has a position within the text', () => {
    fc.assert(fc.property(fc.oneof(fc.string({ unit: 'binary', maxLength: 200 }), nearJson, spoiled), fc.constantFrom(...PATHS), (text, path) => {
      const checked = checkSettings(path, text, undefined)
      if (checked.isOk()) {
        expect(parseAcceptedSettings(path, text)).toBeDefined()
        return
      }
      const problems = checked.error.details['list'] as { line: number, column: number, message: string }[]
      expect(problems.length).toBeGreaterThan(0)
      const lines = text.split(/\r\n|\n|\r/)
      for (const { line, column, message } of problems) {
        expect(line).toBeGreaterThanOrEqual(1)
        expect(line).toBeLessThanOrEqual(lines.length)
        expect(column).toBeGreaterThanOrEqual(1)
        expect(column).toBeLessThanOrEqual((lines[line - 1] ?? '').length + 1)
        expect(message.length).toBeGreaterThan(10)
      }
    }), RUNS)
  })

  it('reports the exact position of a wrong value', () => {
    // Comments, line breaks and spaces before the value all count for its position.
    const trivia = fc.array(fc.constantFrom(' ', '\n', '\t', '// a comment\n', '/* one { */', '/* over\ntwo lines */', '\r\n'), { maxLength: 8 }).map((parts) => parts.join(''))
    fc.assert(fc.property(trivia, trivia, trivia, (first, second, third) => {
      const before = `${first}{${second}"batchEfficiencyWeight":${third}`
      const text = `${before}7}`
      const problems = checkSettings('/policy' as SettingsPath, text, undefined)._unsafeUnwrapErr().details['list'] as { line: number, column: number }[]
      expect(problems).toHaveLength(1)
      expect(problems[0]).toMatchObject(positionAt(text, before.length))
      const counted = before.split(/\r\n|\n|\r/)
      expect(problems[0]).toMatchObject({ line: counted.length, column: (counted.at(-1) ?? '').length + 1 })
    }), RUNS)
  })

  it('finds every unknown key and the nearest known one', () => {
    fc.assert(fc.property(fc.constantFrom('adapters', 'keys', 'limits', 'priorityClasses'), fc.nat(), fc.constantFrom('drop', 'double', 'swap'), (key, at, slip) => {
      const place = at % (key.length - 1)
      const [here = '', next = ''] = [key[place], key[place + 1]]
      const middle = { drop: next, double: here + here + next, swap: next + here }[slip]
      const written = key.slice(0, place) + middle + key.slice(place + 2)
      fc.pre(written !== key)
      const text = `{\n  "${written}": {}\n}`
      const problems = checkSettings('/teams/history' as SettingsPath, text, undefined)._unsafeUnwrapErr().details['list']
      expect(problems).toEqual([{ key: written, line: 2, column: 3, message: `'${written}' is not known here; write '${key}'` }])
    }), RUNS)
  })

  it('changes only what a patch names, and keeps all comments', () => {
    const patches = fc.record({ current: fc.constantFrom('v1', 'v2'), inFlight: fc.integer({ min: 1, max: 9_999 }), extra: fc.option(fc.dictionary(fc.constantFrom('a', 'b'), fc.integer())) })
    fc.assert(fc.property(patches, ({ current, inFlight, extra }) => {
      const patch = { adapters: { poem: { current } }, limits: { inFlight }, ...(extra === null ? {} : { priorityClasses: extra }) }
      const patched = patchText(TEXT, { kind: 'merge', patch })._unsafeUnwrap()
      expect(patched).toContain('// kept')
      expect(patched).toContain('/* kept too */')
      const parsed = parseSettingsText(patched)
      expect('parsed' in parsed ? parsed.parsed.value : undefined).toMatchObject({ adapters: { poem: { baseModel: 'base', versions: ['v1', 'v2'], current } }, limits: { inFlight } })
    }), RUNS)
  })

  it('does not crash on any patch of any text', () => {
    const places = fc.array(fc.constantFrom('adapters', 'poem', 'versions', '0', '-', '7', '', '__proto__', 'limits'), { maxLength: 4 })
    fc.assert(fc.property(fc.oneof(nearJson, spoiled), places, fc.jsonValue(), (text, place, value) => {
      for (const patched of [patchText(text, { kind: 'values', values: [{ place, value }] }), patchText(text, { kind: 'values', values: [{ place, value: undefined }] }), patchText(text, { kind: 'merge', patch: value })]) {
        if (patched.isOk()) expect('parsed' in parseSettingsText(patched.value) || patched.value.includes('__proto__')).toBe(true)
        else expect(patched.error.kind).toBe('invalid-patch')
      }
    }), RUNS)
  })
})
