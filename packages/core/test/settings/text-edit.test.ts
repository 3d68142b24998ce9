import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { textEditBetween, applyTextEdit } from '@limpetwinch/core'

const text = fc.string({ unit: fc.constantFrom('a', 'b', '\n', '\u{1F4DC}', '\u{1F4DD}', '\u{10FFFF}', 'é'), maxLength: 30 })

describe('text edit', () => {
  it('turns one text into the other, also after encoding as UTF-8', () => {
    // Emoji that differ only in the second half of their surrogate pair must not be split, since UTF-8 cannot encode half a pair.
    fc.assert(fc.property(text, text, (before, after) => {
      const edit = textEditBetween(before, after)
      const insert = Buffer.from(edit.insert, 'utf8').toString('utf8')
      expect(applyTextEdit(before, { ...edit, insert })).toBe(after)
    }), { seed: 20_261_202, numRuns: 1_000 })
  })

  it('covers only the range that differs', () => {
    expect(textEditBetween('one two three', 'one 2 three')).toEqual({ start: 4, end: 7, insert: '2' })
    expect(textEditBetween('same', 'same')).toEqual({ start: 4, end: 4, insert: '' })
  })
})
