/** An entry instance in a process of its own, which can be killed and paused as a whole. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { InstanceSettings } from '@limpetwinch/core'
import { EntryHost } from './entry-host.js'
import type { HostedEntry } from './entry-host.js'

/** The same file for the sources and for what was built of them; a process runs what was built. */
const SCRIPT = fileURLToPath(new URL('../../dist/faults/entry-process.js', import.meta.url))

/** Runs an instance in a process. */
export class ProcessEntryHost extends EntryHost {
  private readonly settings: InstanceSettings
  private readonly mutant: string | undefined
  private child: ChildProcess | undefined
  private ended: Promise<void> = Promise.resolve()

  /**
   * @param settings - of the instance
   * @param mutant - which wrong part it gets, if any
   */
  constructor (settings: InstanceSettings, mutant: string | undefined) {
    super()
    this.settings = settings
    this.mutant = mutant
  }

  override async start (): Promise<HostedEntry> {
    const child = spawn(process.execPath, [SCRIPT, JSON.stringify(this.settings), this.mutant ?? ''], { stdio: ['pipe', 'pipe', 'inherit'] })
    this.child = child
    this.ended = new Promise((resolve) => { child.once('exit', () => resolve()) })
    const lines = createInterface({ input: child.stdout })
    return await new Promise<HostedEntry>((resolve, reject) => {
      lines.once('line', (line) => resolve(JSON.parse(line) as HostedEntry))
      child.once('exit', (code) => reject(new Error(`The instance's process ended with ${code} before it listened.`)))
      child.once('error', reject)
    })
  }

  override async stop (): Promise<void> {
    this.child?.kill('SIGTERM')
    await this.ended
  }

  override async kill (): Promise<void> {
    this.child?.kill('SIGKILL')
    await this.ended
  }

  /** Stops its clock, so to say: it does nothing until it is resumed, and does not know it. */
  pause (): void {
    this.child?.kill('SIGSTOP')
  }

  /** Lets it go on where it was. */
  resume (): void {
    this.child?.kill('SIGCONT')
  }
}
