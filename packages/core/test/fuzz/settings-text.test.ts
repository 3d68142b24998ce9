// Guards against settings texts of team owners that are broken, deeply nested, full of mistakes or malicious. Each text must be
// accepted, or refused with the positions of its problems, without crashing the instance and fast enough not to delay other requests.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { checkSettings, parseAcceptedSettings } from '@limpetwinch/core'
import type { SettingsPath } from '@limpetwinch/core'

const RUNS = { seed: 61_204, numRuns: 400 }
const MISTAKES = 20_000
const MAXIMUM_REPORTED = 200

const path = fc.constantFrom('/teams/a', '/shares', '/endpoints', '/policy').map((text) => text as SettingsPath)
const good = '{ "adapters": { "essay": { "baseModel": "b", "versions": ["1"], "current": "1" } }, /* note */ "priorityClasses": { "normal": 5, } }'
const damaged = fc.tuple(fc.nat(good.length), fc.nat(12), fc.string()).map(([at, length, text]) => good.slice(0, at) + text + good.slice(at + length))

function repeat (line: (index: number) => string): string {
  return Array.from({ length: MISTAKES }, (_, index) => line(index)).join(',\n')
}

describe('untrusted settings text', () => {
  it('is accepted or refused with positions, and an accepted text can be read again', () => {
    fc.assert(fc.property(path, fc.oneof(damaged, fc.string(), fc.json()), (where, text) => {
      const checked = checkSettings(where, text, undefined)
      if (checked.isOk()) {
        expect(parseAcceptedSettings(where, text)).toBeDefined()
        return
      }
      const list = checked.error.details.list as { line: number, column: number, message: string }[]
      expect(list.length).toBeGreaterThan(0)
      for (const problem of list) {
        expect(problem.line).toBeGreaterThanOrEqual(1)
        expect(problem.column).toBeGreaterThanOrEqual(1)
        expect(problem.message).not.toBe('')
      }
    }), RUNS)
  })

  // Finding the position of each mistake takes a pass over the whole text: without a limit, 108 kilobytes of unknown keys took more than 10 s.
  it.each([
    ['one repeated key', `{${repeat(() => '"a":1')}}`],
    ['unknown keys', `{${repeat((index) => `"k${index}":1`)}}`],
    ['wrong values', `{"adapters":{${repeat((index) => `"k${index}":1`)}}}`],
    ['wrong entries', `{"keys":[${repeat(() => '1')}]}`],
    ['unknown classes', `{"priorityClasses":{${repeat((index) => `"k${index}":9`)}}}`],
    ['brackets', '['.repeat(MISTAKES)]
  ])('reports only a limited number of mistakes: %s', (_name, text) => {
    const list = checkSettings('/teams/a' as SettingsPath, text, undefined)._unsafeUnwrapErr().details.list as unknown[]
    expect(list.length).toBeGreaterThan(0)
    expect(list.length).toBeLessThanOrEqual(MAXIMUM_REPORTED)
  })
})
