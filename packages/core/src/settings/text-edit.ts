/** Describes a change of a text as one replaced range, so that a small change can be sent without the rest of a large document. */

/** Replaces the characters from `start` up to, but not including, `end`. Offsets count UTF-16 code units. */
export interface TextEdit {
  readonly start: number
  readonly end: number
  readonly insert: string
}

/** @returns the smallest single edit that turns `before` into `after` */
export function textEditBetween (before: string, after: string): TextEdit {
  const shorter = Math.min(before.length, after.length)
  let start = 0
  while (start < shorter && before.charCodeAt(start) === after.charCodeAt(start)) start += 1
  let commonEnd = 0
  while (commonEnd < shorter - start && before.charCodeAt(before.length - 1 - commonEnd) === after.charCodeAt(after.length - 1 - commonEnd)) commonEnd += 1
  // A surrogate pair must not be split: half of a pair cannot be encoded as UTF-8, so the receiver would get another character.
  if (start > 0 && isHighSurrogate(before.charCodeAt(start - 1))) start -= 1
  if (commonEnd > 0 && isLowSurrogate(before.charCodeAt(before.length - commonEnd))) commonEnd -= 1
  return { start, end: before.length - commonEnd, insert: after.slice(start, after.length - commonEnd) }
}

/** @returns the text after the edit */
export function applyTextEdit (before: string, { start, end, insert }: TextEdit): string {
  return before.slice(0, start) + insert + before.slice(end)
}

function isHighSurrogate (unit: number): boolean {
  return unit >= 0xD800 && unit <= 0xDBFF
}

function isLowSurrogate (unit: number): boolean {
  return unit >= 0xDC00 && unit <= 0xDFFF
}
