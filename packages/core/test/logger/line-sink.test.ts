// Whoever reads a process's logs stops reading. Node.js writes to a pipe synchronously, so the process would stand still with
// the reader, and every caller with it. The sink must go on, drop lines from the least worth up, keep the last faults, and say
// how many lines are missing once the reader is back.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'

describe('a sink of log lines', () => {
  it('never stops its process for a reader that stopped, and says what it dropped', async () => {
    const child = spawn(process.execPath, [fileURLToPath(new URL('chatty-process.mjs', import.meta.url))])
    const exited = once(child, 'exit')
    const [report] = await once(child.stderr, 'data')
    const { stoodStill, dropped } = JSON.parse(String(report)) as { stoodStill: boolean, dropped: number }
    let text = ''
    child.stdout.on('data', (chunk) => { text += String(chunk) })
    child.stdin.write('read on')
    await exited
    const lines = text.trim().split('\n').map((line) => JSON.parse(line) as { message: string, lines?: number })
    const reported = lines.reduce((sum, line) => sum + (line.lines ?? 0), 0)
    expect({ stoodStill, droppedSome: dropped > 0, reported: reported === dropped, fault: lines.at(-1)?.message }).toEqual({ stoodStill: false, droppedSome: true, reported: true, fault: 'last fault' })
  })
})
