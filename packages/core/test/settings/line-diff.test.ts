import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { lineDiff } from '@limpetwinch/core'

const SEED = 20_261_202
const lines = fc.array(fc.constantFrom('a', 'b', 'c', 'd', ''), { maxLength: 30 })

describe('line diff', () => {
  it('is empty for equal texts, and shows differences with context lines', () => {
    expect(lineDiff('a\nb\n', 'a\nb\n')).toBe('')
    expect(lineDiff('a\nb\nc\nd\ne\nf\ng\nh\n', 'a\nb\nc\nd\ne\nf\nG\nh\n')).toMatchInlineSnapshot(`
      "@@ -4 +4 @@
       d
       e
       f
      -g
      +G
       h
      "
    `)
  })

  it('turns the earlier text into the later one when applied', () => {
    fc.assert(fc.property(lines, lines, (before, after) => {
      const diff = lineDiff(before.map((line) => `${line}\n`).join(''), after.map((line) => `${line}\n`).join(''))
      expect(applied(before, diff)).toEqual(after)
    }), { seed: SEED, numRuns: 500 })
  })
})

/** Applies the hunks of a diff by their line numbers. */
function applied (before: readonly string[], diff: string): string[] {
  const output: string[] = []
  let at = 0
  for (const line of diff === '' ? [] : diff.slice(0, -1).split('\n')) {
    const start = /^@@ -(\d+) /.exec(line)?.[1]
    if (start !== undefined) {
      output.push(...before.slice(at, Number(start) - 1))
      at = Number(start) - 1
    } else if (line.startsWith('+')) {
      output.push(line.slice(1))
    } else {
      expect(before[at]).toBe(line.slice(1))
      if (line.startsWith(' ')) output.push(line.slice(1))
      at += 1
    }
  }
  return [...output, ...before.slice(at)]
}
