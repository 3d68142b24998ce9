/** Computes a line-based diff of two texts, to show what a change of settings did. */

/** Number of unchanged lines shown before and after each change. */
const CONTEXT_LINES = 3
/**
 * Maximum number of cells in the table with which two texts are compared. For larger texts, all lines between the common beginning and
 * the common end are shown as replaced, since comparing them would take minutes.
 */
const MAXIMUM_TABLE_CELLS = 4_000_000

interface DiffLine {
  readonly mark: ' ' | '-' | '+'
  readonly text: string
  /** Line number, from 1, of the line's position in the earlier text. */
  readonly before: number
  /** Line number, from 1, of the line's position in the later text. */
  readonly after: number
}

/**
 * Compares two texts line by line.
 *
 * @param before - the earlier text
 * @param after - the later text
 * @returns hunks similar to a unified diff; an empty string if the texts are equal
 */
export function lineDiff (before: string, after: string): string {
  const lines = withLineNumbers(diffLines(linesOf(before), linesOf(after)))
  const shown = lines.map((_, index) => lines.slice(Math.max(0, index - CONTEXT_LINES), index + CONTEXT_LINES + 1).some((line) => line.mark !== ' '))
  const output: string[] = []
  lines.forEach((line, index) => {
    if (shown[index] !== true) return
    if (shown[index - 1] !== true) output.push(`@@ -${line.before} +${line.after} @@`)
    output.push(line.mark + line.text)
  })
  return output.length === 0 ? '' : `${output.join('\n')}\n`
}

function linesOf (text: string): string[] {
  if (text === '') return []
  const lines = text.split('\n')
  if (lines.at(-1) === '') lines.pop()
  return lines
}

function diffLines (before: readonly string[], after: readonly string[]): Pick<DiffLine, 'mark' | 'text'>[] {
  let start = 0
  while (start < before.length && start < after.length && before[start] === after[start]) start += 1
  let end = 0
  while (end < before.length - start && end < after.length - start && before[before.length - 1 - end] === after[after.length - 1 - end]) end += 1
  const same = (text: string): Pick<DiffLine, 'mark' | 'text'> => ({ mark: ' ', text })
  return [
    ...before.slice(0, start).map(same),
    ...middleDiff(before.slice(start, before.length - end), after.slice(start, after.length - end)),
    ...before.slice(before.length - end).map(same)
  ]
}

/** Compares the lines between the common beginning and end of two texts by their longest common subsequence. */
function middleDiff (before: readonly string[], after: readonly string[]): Pick<DiffLine, 'mark' | 'text'>[] {
  const removed = before.map((text) => ({ mark: '-', text }) as const)
  const added = after.map((text) => ({ mark: '+', text }) as const)
  const width = after.length + 1
  if (before.length === 0 || after.length === 0 || (before.length + 1) * width > MAXIMUM_TABLE_CELLS) return [...removed, ...added]
  const common = commonLengths(before, after, width)
  const output: Pick<DiffLine, 'mark' | 'text'>[] = []
  let row = 0
  let column = 0
  while (row < before.length && column < after.length) {
    if (before[row] === after[column]) {
      output.push({ mark: ' ', text: before[row] ?? '' })
      row += 1
      column += 1
    } else if ((common[(row + 1) * width + column] ?? 0) >= (common[row * width + column + 1] ?? 0)) {
      output.push(...removed.slice(row, row + 1))
      row += 1
    } else {
      output.push(...added.slice(column, column + 1))
      column += 1
    }
  }
  return [...output, ...removed.slice(row), ...added.slice(column)]
}

/** @returns a table whose cell (row, column) holds the length of the longest common subsequence of the remaining lines of both texts */
function commonLengths (before: readonly string[], after: readonly string[], width: number): Uint32Array {
  const common = new Uint32Array((before.length + 1) * width)
  for (let row = before.length - 1; row >= 0; row -= 1) {
    for (let column = after.length - 1; column >= 0; column -= 1) {
      const here = row * width + column
      common[here] = before[row] === after[column]
        ? (common[here + width + 1] ?? 0) + 1
        : Math.max(common[here + width] ?? 0, common[here + 1] ?? 0)
    }
  }
  return common
}

function withLineNumbers (lines: readonly Pick<DiffLine, 'mark' | 'text'>[]): DiffLine[] {
  let before = 1
  let after = 1
  return lines.map((line) => {
    const placed = { ...line, before, after }
    if (line.mark !== '+') before += 1
    if (line.mark !== '-') after += 1
    return placed
  })
}
