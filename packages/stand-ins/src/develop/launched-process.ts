/** One process that the launcher started. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'

/** What to start. */
export interface LaunchOptions {
  /** The name in reports. */
  readonly name: string
  /** Path of the script that Node.js runs. */
  readonly script: string
  readonly scriptArguments: readonly string[]
  /** Variables beside those of this process. */
  readonly environment?: Readonly<Record<string, string>>
}

const START_TIMEOUT_MILLISECONDS = 60_000
const STOP_TIMEOUT_MILLISECONDS = 30_000
const MAXIMUM_KEPT_LINES = 40

/** A running process; its first line on standard output is JSON and tells where it listens. */
export class LaunchedProcess {
  readonly name: string
  /** What the first line said; undefined before that. */
  ready: unknown
  private readonly child: ChildProcess
  private readonly keptLines: string[] = []
  private readonly ended: Promise<void>
  private readonly output: Promise<string | undefined>
  private stopping = false
  /** Whether it has ended, for whatever reason. */
  hasEnded = false

  /**
   * @param launch - what to start
   * @param onUnexpectedEnd - called when it ends though nobody stopped it
   * @param onLine - gets what it writes on standard error
   * @param onOutput - gets what it writes on standard output, its first line included
   */
  constructor (launch: LaunchOptions, onUnexpectedEnd: (reason: string) => void, onLine: (line: string) => void, onOutput: (line: string) => void = () => {}) {
    this.name = launch.name
    this.child = spawn(process.execPath, [launch.script, ...launch.scriptArguments], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...launch.environment } })
    this.ended = new Promise((resolve) => {
      this.child.once('close', (code, signal) => {
        this.hasEnded = true
        if (!this.stopping) onUnexpectedEnd(signal === null ? `exit code ${code}` : `signal ${signal}`)
        resolve()
      })
    })
    this.child.once('error', (problem) => this.keep(problem.message))
    this.readErrors(onLine)
    this.output = this.readOutput(onOutput)
  }

  /** @returns its process id */
  get processId (): number | undefined {
    return this.child.pid
  }

  /** @returns the newest lines that it wrote on standard error */
  get recentLines (): readonly string[] {
    return this.keptLines
  }

  /**
   * Waits for the first line.
   *
   * @param milliseconds - how long it may take
   * @returns what it says, or `process-failed`
   */
  async untilReady (milliseconds = START_TIMEOUT_MILLISECONDS): Promise<Result<unknown, LimpetwinchError>> {
    const timeout = new AbortController()
    const line = await Promise.race([
      this.output,
      this.ended.then(() => undefined),
      sleep(milliseconds, undefined, { signal: timeout.signal }).catch(() => undefined)
    ])
    timeout.abort()
    if (line === undefined) return err(this.failure(this.hasEnded ? 'it ended before it listened' : 'its first line does not come'))
    try {
      this.ready = JSON.parse(line)
      return ok(this.ready)
    } catch {
      return err(this.failure(`its first line is not JSON: ${line.slice(0, 200)}`))
    }
  }

  /** Waits until it has ended, for whatever reason. */
  async untilEnded (): Promise<void> {
    await this.ended
  }

  /**
   * Ends it: asks first, and kills it when it does not end.
   *
   * @returns whether it ended by itself
   */
  async stop (): Promise<boolean> {
    this.stopping = true
    if (this.hasEnded) return true
    this.child.kill('SIGTERM')
    const timeout = new AbortController()
    await Promise.race([this.ended, sleep(STOP_TIMEOUT_MILLISECONDS, undefined, { signal: timeout.signal }).catch(() => undefined)])
    timeout.abort()
    const endedItself = this.hasEnded
    if (!endedItself) this.child.kill('SIGKILL')
    await this.ended
    return endedItself
  }

  /** Later lines are read as well, or a full pipe would stop the process. @returns the first line */
  private async readOutput (onOutput: (line: string) => void): Promise<string | undefined> {
    const { stdout } = this.child
    if (stdout === null) return undefined
    const lines = createInterface({ input: stdout })
    lines.on('line', onOutput)
    return await new Promise((resolve) => { lines.once('line', resolve) })
  }

  private readErrors (onLine: (line: string) => void): void {
    const { stderr } = this.child
    if (stderr === null) return
    createInterface({ input: stderr }).on('line', (line) => {
      this.keep(line)
      onLine(line)
    })
  }

  private keep (line: string): void {
    this.keptLines.push(line)
    if (this.keptLines.length > MAXIMUM_KEPT_LINES) this.keptLines.shift()
  }

  private failure (reason: string): LimpetwinchError {
    return new LimpetwinchError('process-failed', { name: this.name, reason })
  }
}
