/** A change of a text as the one stretch that differs, so that a large document need not be sent for a small change. */

/** Replaces the characters from `start` to before `end`. */
export interface TextEdit {
  readonly start: number
  readonly end: number
  readonly insert: string
}

/** @returns the smallest single stretch that makes `after` of `before` */
export function textEditBetween (before: string, after: string): TextEdit {
  const shorter = Math.min(before.length, after.length)
  let start = 0
  while (start < shorter && before.charCodeAt(start) === after.charCodeAt(start)) start += 1
  let same = 0
  while (same < shorter - start && before.charCodeAt(before.length - 1 - same) === after.charCodeAt(after.length - 1 - same)) same += 1
  // Half of a surrogate pair cannot be sent as UTF-8: the receiver would read another character in its place.
  if (start > 0 && isHighSurrogate(before.charCodeAt(start - 1))) start -= 1
  if (same > 0 && isLowSurrogate(before.charCodeAt(before.length - same))) same -= 1
  return { start, end: before.length - same, insert: after.slice(start, after.length - same) }
}

/** @returns the text with the edit made */
export function applyTextEdit (before: string, { start, end, insert }: TextEdit): string {
  return before.slice(0, start) + insert + before.slice(end)
}

function isHighSurrogate (unit: number): boolean {
  return unit >= 0xD800 && unit <= 0xDBFF
}

function isLowSurrogate (unit: number): boolean {
  return unit >= 0xDC00 && unit <= 0xDFFF
}
