import { spawn } from 'node:child_process'
import { existsSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'

const SCRIPT = fileURLToPath(new URL('../dist/bin/limpetwinch-develop.js', import.meta.url))
const TIMEOUT_MILLISECONDS = 180_000

async function develop (scriptArguments: string[]): Promise<{ code: number | null, output: string }> {
  expect(existsSync(SCRIPT), 'run npm run build first').toBe(true)
  const child = spawn(process.execPath, [SCRIPT, ...scriptArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const code = await new Promise<number | null>((resolve) => { child.once('close', resolve) })
  return { code, output }
}

describe('development deployment', () => {
  it('starts completely, serves every sample request with the expected adapter and exits with code 0', async () => {
    const { code, output } = await develop(['--once'])
    const lines = output.split('\n').filter((line) => line.startsWith('ok') || line.startsWith('FAILED'))
    expect(output).not.toContain('FAILED')
    expect(lines).toHaveLength(10)
    expect(lines.filter((line) => line.includes('served by athletics/justification@2'))).toHaveLength(2)
    expect(code, output).toBe(0)
  }, TIMEOUT_MILLISECONDS)
})
