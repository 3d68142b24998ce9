/** Deployment that the control bench measures: a platform, engines and several entry instances of one data centre. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import type { LimpetwinchError } from '@limpetwinch/core'
import { LaunchedProcess, makeKey, putSettings, registerInstance, untilReady } from '@limpetwinch/stand-ins'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { BASE_MODEL, benchSettings } from '../path/bench-settings.js'

const resolveFrom = createRequire(import.meta.url)
const DATA_CENTRE = 'north'
const START_TIMEOUT_MILLISECONDS = 60_000

const listeningLine = z.object({ listening: z.string() })
const entryLine = z.object({ listening: z.object({ caller: z.string(), admin: z.string(), peer: z.string() }), instance: z.string() })
const statusSchema = z.object({
  members: z.array(z.object({ instance: z.string(), state: z.string() })),
  endpoints: z.array(z.object({ endpoint: z.string(), owner: z.string().optional(), healthy: z.boolean() })),
  frames: z.record(z.string(), z.object({ bytesSent: z.number(), bytesReceived: z.number() })),
  process: z.object({ cpuUserMicroseconds: z.number(), cpuSystemMicroseconds: z.number() })
})
const callsSchema = z.object({ reads: z.number(), writes: z.number(), watches: z.number() })

/** Status that an entry instance reports. */
export type InstanceStatus = z.infer<typeof statusSchema>
/** Number of calls to the object store that the platform counted. */
export type PlatformCalls = z.infer<typeof callsSchema>

/** A running entry instance. */
export interface RunningEntry {
  readonly instance: string
  readonly admin: string
  readonly launched: LaunchedProcess
}

/** The processes of one bench run; {@link ControlDeployment.stop} ends all of them. */
export class ControlDeployment {
  readonly entries: RunningEntry[] = []
  private readonly administratorKey = makeKey()
  private readonly processes: LaunchedProcess[] = []
  private platform = ''
  private folder = ''

  /**
   * Starts all processes.
   *
   * @param instances - number of entry instances
   * @param engines - number of engines
   * @returns nothing, or the first failure
   */
  async start (instances: number, engines: number): Promise<Result<void, LimpetwinchError>> {
    this.folder = await mkdtemp(join(tmpdir(), 'limpetwinch-bench-'))
    const platform = await this.launch('platform', '@limpetwinch/stand-ins', 'limpetwinch-stand-in-platform', [], listeningLine)
    if (platform.isErr()) return err(platform.error)
    this.platform = platform.value.line.listening
    const urls: string[] = []
    for (let index = 0; index < engines; index += 1) {
      const engine = await this.launch(`engine ${index + 1}`, '@limpetwinch/stand-ins', 'limpetwinch-stand-in-engine',
        ['--name', `engine-${index + 1}`, '--platform', this.platform, '--base-model', BASE_MODEL], listeningLine)
      if (engine.isErr()) return err(engine.error)
      urls.push(engine.value.line.listening)
    }
    const put = await putSettings(this.platform, benchSettings(makeKey(), 1, urls))
    if (put.isErr()) return err(put.error)
    const started = await Promise.all(Array.from({ length: instances }, async (_, index) => await this.startEntry(index)))
    return started.find((result) => result.isErr()) ?? ok(undefined)
  }

  /** @returns the status that an instance reports */
  async status (entry: RunningEntry): Promise<InstanceStatus> {
    const answer = await request(`${entry.admin}/admin/status`, { headers: { authorization: `Bearer ${this.administratorKey.key}` } })
    return statusSchema.parse(await answer.body.json())
  }

  /** @returns the number of calls that the platform has counted */
  async calls (): Promise<PlatformCalls> {
    const answer = await request(`${this.platform}/control/calls`)
    return callsSchema.parse(await answer.body.json())
  }

  /** Ends all processes. Entry instances are killed, since an instance paused by `SIGSTOP` would not handle another signal. */
  async stop (): Promise<void> {
    for (const { launched } of this.entries) sendSignal(launched, 'SIGKILL')
    for (const launched of [...this.processes].reverse()) await launched.stop()
    await rm(this.folder, { recursive: true, force: true })
  }

  private async startEntry (index: number): Promise<Result<void, LimpetwinchError>> {
    const file = join(this.folder, `entry-${index}.json`)
    await writeFile(file, JSON.stringify({
      address: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
      dataCentre: DATA_CENTRE,
      platform: this.platform,
      administratorKeySha256: this.administratorKey.sha256,
      logs: { level: 'error' }
    }))
    const entry = await this.launch(`entry ${index + 1}`, '@limpetwinch/entry', 'limpetwinch-entry', ['--settings', file], entryLine)
    if (entry.isErr()) return err(entry.error)
    const { launched, line } = entry.value
    this.entries.push({ instance: line.instance, admin: line.listening.admin, launched })
    await registerInstance(this.platform, { id: line.instance, kind: 'entry', address: line.listening.peer, dataCentre: DATA_CENTRE })
    return await untilReady(`entry ${index + 1}`, line.listening.admin, () => false)
  }

  private async launch<Line> (name: string, packageName: string, binary: string, scriptArguments: readonly string[], schema: z.ZodType<Line>): Promise<Result<{ launched: LaunchedProcess, line: Line }, LimpetwinchError>> {
    const script = join(dirname(resolveFrom.resolve(packageName)), 'bin', `${binary}.js`)
    const launched = new LaunchedProcess({ name, script, scriptArguments }, () => undefined, () => undefined)
    this.processes.push(launched)
    const line = await launched.untilReady(START_TIMEOUT_MILLISECONDS)
    return line.isErr() ? err(line.error) : ok({ launched, line: schema.parse(line.value) })
  }
}

/** Sends a signal to a process that this bench started. */
export function sendSignal (launched: LaunchedProcess, signal: NodeJS.Signals): void {
  if (launched.processId === undefined) return
  try {
    process.kill(launched.processId, signal)
  } catch {
    // The process has ended already, so there is nothing to signal.
  }
}
