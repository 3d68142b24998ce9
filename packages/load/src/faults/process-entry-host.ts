/** A host that runs an entry instance in a separate process, which can be killed and paused as a whole. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { InstanceSettings } from '@limpetwinch/core'
import { EntryHost } from './entry-host.js'
import type { HostedEntry } from './entry-host.js'

/** The compiled program. This path is valid from the source folder and from the build folder. */
const SCRIPT = fileURLToPath(new URL('../../dist/faults/entry-process.js', import.meta.url))

/** Runs an instance in a separate process. */
export class ProcessEntryHost extends EntryHost {
  private readonly settings: InstanceSettings
  private readonly mutant: string | undefined
  private child: ChildProcess | undefined
  private ended: Promise<void> = Promise.resolve()

  /**
   * @param settings - settings of the instance
   * @param mutant - name of the mutant that the instance contains, or undefined for none
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
      child.once('exit', (code) => reject(new Error(`The process of the instance exited with code ${code} before the instance listened.`)))
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

  /** Pauses the process, without a notification to the instance, until `resume` is called. */
  pause (): void {
    this.child?.kill('SIGSTOP')
  }

  /** Resumes the paused process. */
  resume (): void {
    this.child?.kill('SIGCONT')
  }
}
