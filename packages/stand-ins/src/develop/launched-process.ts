/** A child process of a launcher. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'

/** Script and environment of a process to start. */
export interface LaunchOptions {
  /** Name of the process in errors and log lines. */
  readonly name: string
  /** Path of the script that Node.js runs. */
  readonly script: string
  readonly scriptArguments: readonly string[]
  /** Environment variables in addition to those of this process. */
  readonly environment?: Readonly<Record<string, string>>
}

const START_TIMEOUT_MILLISECONDS = 60_000
const STOP_TIMEOUT_MILLISECONDS = 30_000
const MAXIMUM_KEPT_LINES = 40

/** A child process whose first line on standard output is JSON with the addresses on which the process listens. */
export class LaunchedProcess {
  readonly name: string
  /** Parsed first line; undefined until the line has arrived. */
  ready: unknown
  private readonly child: ChildProcess
  private readonly keptLines: string[] = []
  private readonly ended: Promise<void>
  private readonly output: Promise<string | undefined>
  private stopping = false
  /** Whether the process has ended, for any reason. */
  hasEnded = false

  /**
   * @param launch - script and environment of the process
   * @param onUnexpectedEnd - called with the exit code or signal when the process ends before {@link LaunchedProcess.stop} is called
   * @param onLine - receives each line of standard error
   * @param onOutput - receives each line of standard output, including the first one
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

  /** @returns the process id; undefined when the process could not be started */
  get processId (): number | undefined {
    return this.child.pid
  }

  /** @returns the latest lines of standard error */
  get recentLines (): readonly string[] {
    return this.keptLines
  }

  /**
   * Waits for the first line on standard output.
   *
   * @param milliseconds - maximum time to wait
   * @returns the parsed first line, or `process-failed`
   */
  async untilReady (milliseconds = START_TIMEOUT_MILLISECONDS): Promise<Result<unknown, LimpetwinchError>> {
    const timeout = new AbortController()
    const line = await Promise.race([
      this.output,
      this.ended.then(() => undefined),
      sleep(milliseconds, undefined, { signal: timeout.signal }).catch(() => undefined)
    ])
    timeout.abort()
    if (line === undefined) return err(this.failure(this.hasEnded ? 'it ended before it listened' : 'it wrote no line on standard output in time'))
    try {
      this.ready = JSON.parse(line)
      return ok(this.ready)
    } catch {
      return err(this.failure(`its first line is not JSON: ${line.slice(0, 200)}`))
    }
  }

  /** Waits until the process has ended, for any reason. */
  async untilEnded (): Promise<void> {
    await this.ended
  }

  /**
   * Stops the process with SIGTERM, and kills it if it does not end in time.
   *
   * @returns whether the process ended without being killed
   */
  async stop (): Promise<boolean> {
    this.stopping = true
    if (this.hasEnded) return true
    this.child.kill('SIGTERM')
    const timeout = new AbortController()
    await Promise.race([this.ended, sleep(STOP_TIMEOUT_MILLISECONDS, undefined, { signal: timeout.signal }).catch(() => undefined)])
    timeout.abort()
    const endedInTime = this.hasEnded
    if (!endedInTime) this.child.kill('SIGKILL')
    await this.ended
    return endedInTime
  }

  /** Reads all lines of standard output, because a full pipe would block the process. @returns the first line */
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
