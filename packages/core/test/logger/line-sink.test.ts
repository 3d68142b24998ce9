// Guards against a blocked process when the reader of its logs stops reading: Node.js writes to a pipe synchronously, so the
// process and all its callers would wait for the reader. The sink must not block, must drop lines of the lowest priority first,
// keep the last faults, and report the number of dropped lines when the reader continues.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'

describe('a sink of log lines', () => {
  it('does not block its process when the reader stops, and reports the dropped lines', async () => {
    const child = spawn(process.execPath, [fileURLToPath(new URL('high-volume-process.mjs', import.meta.url))])
    const exited = once(child, 'exit')
    const [report] = await once(child.stderr, 'data')
    const { blocked, dropped } = JSON.parse(String(report)) as { blocked: boolean, dropped: number }
    let text = ''
    child.stdout.on('data', (chunk) => { text += String(chunk) })
    child.stdin.write('read on')
    await exited
    const lines = text.trim().split('\n').map((line) => JSON.parse(line) as { message: string, lines?: number })
    const reported = lines.reduce((sum, line) => sum + (line.lines ?? 0), 0)
    expect({ blocked, droppedSome: dropped > 0, reported: reported === dropped, fault: lines.at(-1)?.message }).toEqual({ blocked: false, droppedSome: true, reported: true, fault: 'last fault' })
  })
})
