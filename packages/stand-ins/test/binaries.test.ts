import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterAll, describe, expect, it } from 'vitest'
import { LaunchedProcess } from '../src/develop/launched-process.js'

const folder = mkdtempSync(join(tmpdir(), 'limpetwinch-stand-ins-'))
afterAll(() => rmSync(folder, { recursive: true, force: true }))

function launch (kind: string, scriptArguments: string[]): { launched: LaunchedProcess, ends: string[] } {
  const script = fileURLToPath(new URL(`../dist/bin/limpetwinch-stand-in-${kind}.js`, import.meta.url))
  expect(existsSync(script), 'run npm run build first').toBe(true)
  const ends: string[] = []
  return { launched: new LaunchedProcess({ name: kind, script, scriptArguments }, (reason) => ends.push(reason), () => undefined), ends }
}

describe('programs of the stand-ins', () => {
  it.each([
    ['platform', '/instances', '{"instances":[]}'],
    ['engine', '/cache-events', '{"events":[]}'],
    ['service', '/control/history', '{"events":[]}']
  ])('%s reports its URL, serves requests and ends on SIGTERM', async (kind, path, body) => {
    const { launched, ends } = launch(kind, ['--history', join(folder, `${kind}.jsonl`)])
    const line = (await launched.untilReady())._unsafeUnwrap() as { listening: string }
    expect(await (await fetch(line.listening + path)).text()).toBe(body)
    await launched.stop()
    expect(ends).toEqual([])
  })

  it('accepts faults by flag and writes its history to a file', async () => {
    const history = join(folder, 'service-faults.jsonl')
    const { launched } = launch('service', ['--name', 'echo-1', '--history', history, '--faults', '{"refuseBefore": 1}'])
    const { listening } = (await launched.untilReady())._unsafeUnwrap() as { listening: string }
    expect((await fetch(`${listening}/a`)).status).toBe(503)
    expect((await fetch(`${listening}/a`)).status).toBe(200)
    await launched.stop()
    const lines = readFileSync(history, 'utf8').trim().split('\n').map((text) => JSON.parse(text))
    expect(lines).toMatchObject([{ event: 'run-started', endpoint: 'echo-1' }, { event: 'run-ended' }])
  })

  // Guards against a child process that ends unexpectedly without notice: the end must be reported also before the first line of output.
  it('reports an unexpected end', async () => {
    const { launched, ends } = launch('service', ['--faults', '{"unknown": 1}'])
    expect((await launched.untilReady())._unsafeUnwrapErr().message).toContain('ended before it listened')
    expect(ends).toEqual(['exit code 2'])
    expect(launched.recentLines.join()).toContain('unknown')
  })
})
