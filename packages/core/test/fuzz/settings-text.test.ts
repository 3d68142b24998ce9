// A team's owner sends a text that is broken, deep, full of mistakes or made to do harm. It must be accepted or refused
// with the place of what is wrong, in a time that other requests of the instance do not feel, and never crash it.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { checkSettings, parseAcceptedSettings } from '@limpetwinch/core'
import type { SettingsPath } from '@limpetwinch/core'

const RUNS = { seed: 61_204, numRuns: 400 }
const MISTAKES = 20_000
const MOST_NAMED = 200

const path = fc.constantFrom('/teams/a', '/shares', '/endpoints', '/policy').map((text) => text as SettingsPath)
const good = '{ "adapters": { "essay": { "baseModel": "b", "versions": ["1"], "current": "1" } }, /* note */ "priorityClasses": { "normal": 5, } }'
const damaged = fc.tuple(fc.nat(good.length), fc.nat(12), fc.string()).map(([at, length, text]) => good.slice(0, at) + text + good.slice(at + length))

function repeat (line: (index: number) => string): string {
  return Array.from({ length: MISTAKES }, (_, index) => line(index)).join(',\n')
}

describe('settings text from outside', () => {
  it('is accepted or refused with places, and an accepted text can be read again', () => {
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

  // Each mistake was placed by a pass over the whole text: 108 kilobytes of unknown keys took 10 s and more.
  it.each([
    ['one key again and again', `{${repeat(() => '"a":1')}}`],
    ['unknown keys', `{${repeat((index) => `"k${index}":1`)}}`],
    ['wrong values', `{"adapters":{${repeat((index) => `"k${index}":1`)}}}`],
    ['wrong entries', `{"keys":[${repeat(() => '1')}]}`],
    ['unknown classes', `{"priorityClasses":{${repeat((index) => `"k${index}":9`)}}}`],
    ['brackets', '['.repeat(MISTAKES)]
  ])('names only some of very many mistakes: %s', (_name, text) => {
    const list = checkSettings('/teams/a' as SettingsPath, text, undefined)._unsafeUnwrapErr().details.list as unknown[]
    expect(list.length).toBeGreaterThan(0)
    expect(list.length).toBeLessThanOrEqual(MOST_NAMED)
  })
})
