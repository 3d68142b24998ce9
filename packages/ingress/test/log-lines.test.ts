// On-call engineers analyse failures from the log lines alone, so a line that is missing or outdated in the reference misleads
// them. The reference lists each line that the program can write with its level and fields; this test fails for a line that was
// added, changed or removed until the page is updated.
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'

const ROOT = fileURLToPath(new URL('../../..', import.meta.url))
/** Sources of all log lines that an ingress instance writes with messages of its own. */
const SOURCES = ['packages/ingress/src', 'packages/entry/src/peers', 'packages/entry/src/runtime', 'platform/src/bin/limpetwinch-ingress.ts']
const PAGE = 'docs/reference/log-lines.md'
const CALL = /(?:logger|log|this\.logger|this\.parts\.logger|around\.logger)\.(debug|info|warn|error)\(\s*('(?:[^'\\]|\\.)*'|[^,)]*)(?:,\s*\{([^}]*))?/g

interface LogLine {
  readonly level: string
  readonly message: string
  readonly fields: readonly string[]
}

function filesOf (path: string): string[] {
  const full = join(ROOT, path)
  if (path.endsWith('.ts')) return [full]
  return readdirSync(full, { recursive: true, encoding: 'utf8' }).filter((file) => file.endsWith('.ts')).map((file) => join(full, file))
}

function linesOf (file: string): LogLine[] {
  // The pattern would otherwise end the fields at a call within a field's value.
  const source = withoutNestedCalls(readFileSync(file, 'utf8'))
  return [...source.matchAll(CALL)].flatMap(([, level = '', text = '', fields = '']) => (
    messagesOf(text, source).map((message) => ({ level, message, fields: fieldsOf(fields) }))
  ))
}

/** @returns the messages of a log call: the literal of the call, or those of the table in the same file that the call names */
function messagesOf (text: string, source: string): string[] {
  const table = /^([A-Z][A-Z_]+)\[/.exec(text)?.[1]
  const words = table === undefined ? text : new RegExp(`const ${table}[^{]*\\{([^}]*)\\}`).exec(source)?.[1] ?? ''
  return [...words.matchAll(/'([A-Z](?:[^'\\]|\\.)*\.)'/g)].map(([, message = '']) => message)
}

function withoutNestedCalls (source: string): string {
  const shorter = source.replace(/([\w.\]]+)\([^()']*\)/g, (call, name: string) => /\.(?:debug|info|warn|error)$/.test(name) ? call : name)
  return shorter === source ? source : withoutNestedCalls(shorter)
}

/** @returns the names of the fields of an object literal; a spread expression is returned as written */
function fieldsOf (text: string): string[] {
  return text.split(',').flatMap((part) => {
    const name = /^\s*(\.\.\.)?([\w.]+)/.exec(part)
    return name?.[2] === undefined ? [] : [`${name[1] ?? ''}${name[2]}`]
  })
}

function row ({ level, message, fields }: LogLine): string {
  return `| ${message} | ${level} | ${fields.map((field) => `\`${field}\``).join(', ')} |`
}

describe('the reference of log lines', () => {
  it('has a row for each line that an ingress instance can write, and no other row', () => {
    const written = [...new Set(SOURCES.flatMap(filesOf).flatMap(linesOf).map(row))].sort()
    const listed = readFileSync(join(ROOT, PAGE), 'utf8').split('\n').filter((line) => /^\| [A-Z].*\| (debug|info|warn|error) \|/.test(line)).sort()
    expect(listed).toEqual(written)
  })
})
