/** JSON with comments as operators write it, with the place of each value. */
import { createScanner, findNodeAtLocation, getNodePath, getNodeValue, parse, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'

/** One reason to refuse a text. */
export interface SettingsProblem {
  /** Where inside the document, such as `adapters.poem.current`; empty for the document itself. */
  readonly key: string
  /** From 1. */
  readonly line: number
  /** From 1, in UTF-16 units. */
  readonly column: number
  /** What is wrong and what to write instead. */
  readonly message: string
}

/** A text that is JSON with comments. */
export interface ParsedText {
  readonly value: unknown
  readonly root: Node
}

const PARSE_OPTIONS = { allowTrailingComma: true, allowEmptyContent: false }
const MAXIMUM_DEPTH = 32
const MAXIMUM_SYNTAX_PROBLEMS = 20
/**
 * Problems named at most. Each is placed by a pass over the text, so that a text with a problem in every line, a
 * hundred kilobytes long, would keep the instance from everything else for ten seconds and more.
 */
export const MAXIMUM_PROBLEMS = 100
/** Tokens by the numbers of jsonc-parser, whose own names exist only for its compiler. */
const TOKEN = { openBrace: 1, closeBrace: 2, openBracket: 3, closeBracket: 4, end: 17 }

const SYNTAX_REMEDIES: Readonly<Record<string, string>> = {
  InvalidSymbol: "this is no JSON value; write text in double quotes, a number, true, false, null, '{' or '['",
  InvalidNumberFormat: 'this is no number; write digits such as 12 or 0.5',
  PropertyNameExpected: 'a key is missing here; write it in double quotes',
  ValueExpected: 'a value is missing here; write one',
  ColonExpected: "write ':' between key and value",
  CommaExpected: "write ',' between this and what stands before it",
  CloseBraceExpected: "write '}' to close the object",
  CloseBracketExpected: "write ']' to close the list",
  EndOfFileExpected: 'the document has ended before this; remove the rest',
  InvalidCommentToken: "write comments as '// …' or '/* … */'",
  UnexpectedEndOfComment: "close the comment with '*/'",
  UnexpectedEndOfString: 'close the text with a double quote',
  UnexpectedEndOfNumber: 'the number ends too early; write its digits',
  InvalidUnicode: 'write four hex digits after \\u',
  InvalidEscapeCharacter: 'this escape is unknown; write \\\\ for a backslash',
  InvalidCharacter: 'this character must be escaped; write \\n, \\t or \\u and four hex digits'
}

/** @returns line and column of an offset, both from 1 */
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
 * Reads JSON with comments and trailing commas.
 *
 * @param text - the document
 * @returns its value and tree, or every syntax problem
 */
export function parseSettingsText (text: string): { parsed: ParsedText } | { problems: readonly SettingsProblem[] } {
  const deep = offsetDeeperThan(text, MAXIMUM_DEPTH)
  if (deep !== undefined) return { problems: [problemAt(text, deep, '', `this is nested more than ${MAXIMUM_DEPTH} deep; write it flatter`)] }
  const errors: ParseError[] = []
  const root = parseTree(text, errors, PARSE_OPTIONS)
  if (errors.length > 0 || root === undefined) return { problems: syntaxProblems(text, errors) }
  const doubled = duplicateKeyProblems(text, root)
  if (doubled.length > 0) return { problems: doubled }
  return { parsed: { value: getNodeValue(root), root } }
}

/**
 * Reads a text that was accepted before, without the tree.
 *
 * @returns the value, or undefined when the text is no JSON with comments
 */
export function parseAcceptedText (text: string): unknown {
  try {
    // Many times faster than a parser that knows comments; every instance reads each change, between tokens to relay.
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
    // The parser recurses; a text of brackets alone ends its stack. What was accepted is never so deep.
    return undefined
  }
}

/** @returns a problem at an offset */
export function problemAt (text: string, offset: number, key: string, message: string): SettingsProblem {
  return { key, ...positionAt(text, offset), message }
}

/**
 * Finds where a value stands; the nearest part around it when it is missing.
 *
 * @param root - the tree
 * @param path - keys and indexes from the root
 * @param ofKey - whether to point at the key and not at the value
 * @returns an offset
 */
export function offsetOf (root: Node, path: readonly (string | number)[], ofKey = false): number {
  const node = findNodeAtLocation(root, [...path])
  if (node !== undefined) {
    const property = node.parent?.type === 'property' ? node.parent : undefined
    return ofKey ? property?.offset ?? node.offset : node.offset
  }
  return path.length === 0 ? root.offset : offsetOf(root, path.slice(0, -1), ofKey)
}

/** The parser recurses, so that a text of brackets alone would end the process by its stack; the scanner does not. */
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
    return problemAt(text, offset, '', SYNTAX_REMEDIES[name] ?? `this is no JSON (${name}); write JSON with comments`)
  })
}

/**
 * A key written twice would silently keep its last value only, and `__proto__` would set no key at all: the operator
 * would see one thing and the instances another.
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
  const doubled = seen.has(key)
  seen.add(key)
  if (!doubled && key !== '__proto__') return []
  const message = doubled ? `'${key}' stands twice; remove one of them` : "'__proto__' cannot be a key; choose another name"
  return [problemAt(text, property.offset, [...getNodePath(property.parent ?? property), key].join('.'), message)]
}
