// Guards against a check command that misses a broken promise, returns the wrong exit code or accepts an incomplete history.
import { appendFile, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import Check from '../../src/commands/check.js'
import { HistoryFileWriter, readHistoryFiles, standInAnswer } from '../../src/history/index.js'
import type { HistoryEvent } from '../../src/history/index.js'

const adapter = 'history/essay@v1'
const text = standInAnswer({ adapter, prompt: 'p', maximumTokens: 3, seed: undefined })
const sent: HistoryEvent = {
  event: 'request-sent', at: 1, request: 'r', team: 'history', adapter: 'essay', version: 'v1', idempotent: true, instance: 'i', prompt: 'p', maximumTokens: 3
}
const run: HistoryEvent = { event: 'run-started', at: 2, endpoint: 'e', run: '1', request: 'inner', adapter, prompt: 'p' }
const answered: HistoryEvent = { event: 'request-ended', at: 3, request: 'r', outcome: 'answered', text }

describe('limpetwinch-load check', () => {
  let folder = ''
  const exitCode = process.exitCode

  beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'limpetwinch-check-')) })

  afterEach(async () => {
    process.exitCode = exitCode
    await rm(folder, { recursive: true })
  })

  async function write (name: string, events: readonly HistoryEvent[]): Promise<string> {
    const file = join(folder, name)
    const writer = new HistoryFileWriter(file)
    for (const event of events) writer.write(event)
    await writer.close()
    return file
  }

  it('joins the files of caller and engine and finds no violation', async () => {
    const files = [await write('caller', [sent, answered]), await write('engine', [run])]
    const report = await Check.run([...files, '--json'], import.meta.url)
    expect(report).toMatchObject({ events: 3, requests: 1, violations: [] })
    expect(process.exitCode).toBe(exitCode)
  })

  it('exits 1 and names the lines of a broken promise', async () => {
    const file = await write('all', [sent, { ...run, adapter: 'other/essay@v1' }, answered])
    const report = await Check.run([file, '--json'], import.meta.url)
    expect(report.violations.map(({ promise, events }) => [promise, events.map((event) => event.line)])).toEqual([['right-adapter', [1, 2]]])
    expect(process.exitCode).toBe(1)
  })

  it('refuses a history with an invalid line', async () => {
    const file = await write('torn', [sent, run])
    await appendFile(file, '{"event":"request-ended","at":3')
    expect((await readHistoryFiles([file]))._unsafeUnwrapErr()).toEqual({ file, line: 3, reason: 'not JSON' })
  })
})
