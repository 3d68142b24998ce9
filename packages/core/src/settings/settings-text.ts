/** Parses settings texts, which are JSON with comments, and finds the positions of values in them. */
import { createScanner, findNodeAtLocation, getNodePath, getNodeValue, parse, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'

/** One problem for which a text is refused. */
export interface SettingsProblem {
  /** Location in the document, such as `adapters.poem.current`; empty for the whole document. */
  readonly key: string
  /** Line number, from 1. */
  readonly line: number
  /** Column number, from 1, in UTF-16 code units. */
  readonly column: number
  /** What is wrong and what to write instead. */
  readonly message: string
}

/** The value and the syntax tree of a text that is valid JSON with comments. */
export interface ParsedText {
  readonly value: unknown
  readonly root: Node
}

const PARSE_OPTIONS = { allowTrailingComma: true, allowEmptyContent: false }
/** Maximum nesting depth of a text. The parser is recursive, so deep nesting could overflow the stack. */
const MAXIMUM_DEPTH = 32
/** Maximum number of reported syntax problems. */
const MAXIMUM_SYNTAX_PROBLEMS = 20
/**
 * Maximum number of reported problems. Finding the position of each problem takes a pass over the text. Without the limit, a
 * text of a hundred kilobytes with a problem in every line would block the instance for more than ten seconds.
 */
export const MAXIMUM_PROBLEMS = 100
/** Token numbers of jsonc-parser. The names that jsonc-parser gives these numbers exist only at compile time. */
const TOKEN = { openBrace: 1, closeBrace: 2, openBracket: 3, closeBracket: 4, end: 17 }

/** For each syntax error of jsonc-parser, the message that tells the operator what to write instead. */
const SYNTAX_REMEDIES: Readonly<Record<string, string>> = {
  InvalidSymbol: "this is not a JSON value; write text in double quotes, a number, true, false, null, '{' or '['",
  InvalidNumberFormat: 'this is not a number; write digits such as 12 or 0.5',
  PropertyNameExpected: 'a key is missing here; write it in double quotes',
  ValueExpected: 'a value is missing here; write one',
  ColonExpected: "write ':' between the key and the value",
  CommaExpected: "write ',' between this and the value before it",
  CloseBraceExpected: "write '}' to close the object",
  CloseBracketExpected: "write ']' to close the list",
  EndOfFileExpected: 'the document ends before this; remove the rest',
  InvalidCommentToken: "write comments as '// …' or '/* … */'",
  UnexpectedEndOfComment: "close the comment with '*/'",
  UnexpectedEndOfString: 'close the text with a double quote',
  UnexpectedEndOfNumber: 'the number ends too early; write its digits',
  InvalidUnicode: 'write four hex digits after \\u',
  InvalidEscapeCharacter: 'this escape sequence is unknown; write \\\\ for a backslash',
  InvalidCharacter: 'this character must be escaped; write \\n, \\t or \\u and four hex digits'
}

/** @returns the line and the column of an offset, both from 1 */
export function positionAt (text: string, offset: number): { line: number, column: number } {
  let line = 1
  let lineStart = 0
  for (const { index, 0: end } of text.slice(0, offset).matchAll(/\r\n|\n|\r/g)) {
    line += 1
    lineStart = index + end.length
  }
  return { line, column: offset - lineStart + 1 }
}

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param text - the document
 * @returns the value and the syntax tree, or the problems: bad syntax, too deep nesting or duplicate keys
 */
export function parseSettingsText (text: string): { parsed: ParsedText } | { problems: readonly SettingsProblem[] } {
  const tooDeep = offsetDeeperThan(text, MAXIMUM_DEPTH)
  if (tooDeep !== undefined) return { problems: [problemAt(text, tooDeep, '', `this is nested more than ${MAXIMUM_DEPTH} deep; write it flatter`)] }
  const errors: ParseError[] = []
  const root = parseTree(text, errors, PARSE_OPTIONS)
  if (errors.length > 0 || root === undefined) return { problems: syntaxProblems(text, errors) }
  const duplicates = duplicateKeyProblems(text, root)
  if (duplicates.length > 0) return { problems: duplicates }
  return { parsed: { value: getNodeValue(root), root } }
}

/**
 * Parses a text that was accepted earlier, without building a syntax tree.
 *
 * @returns the value, or undefined if the text is not JSON with comments
 */
export function parseAcceptedText (text: string): unknown {
  try {
    // JSON.parse is many times faster than a parser that supports comments. Every instance parses each change while it relays tokens.
    return JSON.parse(text)
  } catch {
    return parseWithComments(text)
  }
}

function parseWithComments (text: string): unknown {
  const errors: ParseError[] = []
  try {
    const value: unknown = parse(text, errors, PARSE_OPTIONS)
    return errors.length > 0 ? undefined : value
  } catch {
    // The parser is recursive and overflows the stack on a text of brackets alone. Accepted texts are never nested so deeply.
    return undefined
  }
}

/** @returns a problem at the position of an offset */
export function problemAt (text: string, offset: number, key: string, message: string): SettingsProblem {
  return { key, ...positionAt(text, offset), message }
}

/**
 * Finds the position of a value. For a missing value, the result is the position of the nearest enclosing value.
 *
 * @param root - root of the syntax tree
 * @param path - keys and indexes from the root
 * @param ofKey - whether to return the position of the key instead of the value
 * @returns the offset in the text
 */
export function offsetOf (root: Node, path: readonly (string | number)[], ofKey = false): number {
  const node = findNodeAtLocation(root, [...path])
  if (node !== undefined) {
    const property = node.parent?.type === 'property' ? node.parent : undefined
    return ofKey ? property?.offset ?? node.offset : node.offset
  }
  return path.length === 0 ? root.offset : offsetOf(root, path.slice(0, -1), ofKey)
}

/**
 * Finds the first place at which a text is nested too deeply, with the scanner instead of the parser. The parser is recursive, so
 * a text of brackets alone would crash the process by a stack overflow.
 */
function offsetDeeperThan (text: string, deepest: number): number | undefined {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token: number = scanner.scan(); token !== TOKEN.end; token = scanner.scan()) {
    if (token === TOKEN.openBrace || token === TOKEN.openBracket) depth += 1
    if (token === TOKEN.closeBrace || token === TOKEN.closeBracket) depth -= 1
    if (depth > deepest) return scanner.getTokenOffset()
  }
  return undefined
}

function syntaxProblems (text: string, errors: readonly ParseError[]): SettingsProblem[] {
  if (errors.length === 0) return [problemAt(text, 0, '', 'the document is empty; write one object, such as {}')]
  return errors.slice(0, MAXIMUM_SYNTAX_PROBLEMS).map(({ error, offset }) => {
    const name = printParseErrorCode(error)
    return problemAt(text, offset, '', SYNTAX_REMEDIES[name] ?? `this is not JSON (${name}); write JSON with comments`)
  })
}

/**
 * Finds duplicate keys and the key `__proto__`. The parser would silently keep only the last value of a duplicate key and would
 * set no key for `__proto__`, so that operators and instances would see different settings.
 */
function duplicateKeyProblems (text: string, node: Node): SettingsProblem[] {
  const problems: SettingsProblem[] = []
  const seen = new Set<string>()
  for (const child of node.children ?? []) {
    if (problems.length >= MAXIMUM_PROBLEMS) return problems
    if (node.type === 'object') problems.push(...keyProblems(text, child, seen))
    const value = node.type === 'object' ? child.children?.[1] : child
    if (value?.children !== undefined) problems.push(...duplicateKeyProblems(text, value))
  }
  return problems
}

function keyProblems (text: string, property: Node, seen: Set<string>): SettingsProblem[] {
  const key = String(property.children?.[0]?.value)
  const isDuplicate = seen.has(key)
  seen.add(key)
  if (!isDuplicate && key !== '__proto__') return []
  const message = isDuplicate ? `'${key}' appears twice; remove one of them` : "'__proto__' cannot be a key; choose another name"
  return [problemAt(text, property.offset, [...getNodePath(property.parent ?? property), key].join('.'), message)]
}
