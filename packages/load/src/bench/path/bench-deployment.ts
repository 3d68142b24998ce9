/** Deployment that the path bench measures: a platform, engines and one entry instance. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import type { LimpetwinchError } from '@limpetwinch/core'
import { LaunchedProcess, makeKey, putSettings, registerInstance, untilReady } from '@limpetwinch/stand-ins'
import type { SettingsFile } from '@limpetwinch/stand-ins'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { USAGE_PATH } from './bare-relay.js'
import { BASE_MODEL, BATCH_CAPACITY, benchSettings, ENGINE_SLOTS } from './bench-settings.js'

/** Processor time and memory that a process has used. */
export interface ProcessUsage {
  readonly at: number
  readonly processorMicroseconds: number
  readonly residentBytes: number
}

/** Size of the deployment. */
export interface BenchSize {
  readonly engines: number
  readonly adapters: number
}

const resolveFrom = createRequire(import.meta.url)
const DATA_CENTRE = 'north'
const START_TIMEOUT_MILLISECONDS = 60_000
const STEP_MILLISECONDS = 2

const relayUsageSchema = z.object({ processorMicroseconds: z.number() })
const listeningLine = z.object({ listening: z.string() })
const entryLine = z.object({ listening: z.object({ caller: z.string(), admin: z.string(), peer: z.string() }), instance: z.string() })
const statusSchema = z.object({
  process: z.object({ cpuUserMicroseconds: z.number(), cpuSystemMicroseconds: z.number(), residentBytes: z.number() })
})

/** The processes of one bench run; {@link BenchDeployment.stop} ends all of them. */
export class BenchDeployment {
  readonly callerKey = makeKey()
  caller = ''
  readonly engines: string[] = []
  private readonly administratorKey = makeKey()
  private readonly processes: LaunchedProcess[] = []
  private admin = ''
  private folder: string | undefined

  /**
   * Starts all processes.
   *
   * @param size - number of engines and configured adapters
   * @returns nothing, or the first failure
   */
  async start (size: BenchSize): Promise<Result<void, LimpetwinchError>> {
    const platform = await this.launch('platform', '@limpetwinch/stand-ins', 'limpetwinch-stand-in-platform', ['--list-lag', '0', '--loads-per-second', '100'], listeningLine)
    if (platform.isErr()) return err(platform.error)
    const url = platform.value.listening
    const files: SettingsFile[] = benchSettings(this.callerKey, size.adapters, await this.startEngines(url, size.engines))
    const put = await putSettings(url, files)
    if (put.isErr()) return err(put.error)
    return await this.startEntry(url)
  }

  /** @returns the processor time and memory that the entry process has used so far, read from its status */
  async usage (): Promise<ProcessUsage> {
    const answer = await request(`${this.admin}/admin/status`, { headers: { authorization: `Bearer ${this.administratorKey.key}` } })
    const { process: used } = statusSchema.parse(await answer.body.json())
    return {
      at: performance.now(),
      processorMicroseconds: used.cpuUserMicroseconds + used.cpuSystemMicroseconds,
      residentBytes: used.residentBytes
    }
  }

  /**
   * Starts a relay process that only forwards bytes to and from the first engine.
   *
   * @returns the URL of the relay and a function that reads its processor time
   */
  async startRelay (): Promise<Result<{ url: string, usage: () => Promise<Pick<ProcessUsage, 'at' | 'processorMicroseconds'>> }, LimpetwinchError>> {
    const relay = await this.launch('relay', '@limpetwinch/load', 'limpetwinch-load', ['bench', 'relay', '--engine', this.engines[0] ?? ''], listeningLine)
    return relay.map(({ listening: url }) => ({
      url,
      usage: async () => {
        const answer = await request(url + USAGE_PATH)
        const { processorMicroseconds } = relayUsageSchema.parse(await answer.body.json())
        return { at: performance.now(), processorMicroseconds }
      }
    }))
  }

  /** Ends all processes. */
  async stop (): Promise<void> {
    for (const launched of [...this.processes].reverse()) await launched.stop()
    if (this.folder !== undefined) await rm(this.folder, { recursive: true, force: true })
  }

  private async startEngines (platform: string, count: number): Promise<string[]> {
    for (let index = 0; index < count; index += 1) {
      const started = await this.launch(`engine ${index + 1}`, '@limpetwinch/stand-ins', 'limpetwinch-stand-in-engine', [
        '--name', `engine-${index + 1}`, '--platform', platform, '--base-model', BASE_MODEL, '--slots', String(ENGINE_SLOTS),
        '--batch-capacity', String(BATCH_CAPACITY), '--queue-limit', '4096', '--step-milliseconds', String(STEP_MILLISECONDS)
      ], listeningLine)
      if (started.isOk()) this.engines.push(started.value.listening)
    }
    return this.engines
  }

  private async startEntry (platform: string): Promise<Result<void, LimpetwinchError>> {
    this.folder = await mkdtemp(join(tmpdir(), 'limpetwinch-bench-'))
    const file = join(this.folder, 'entry.json')
    await writeFile(file, JSON.stringify({
      address: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
      dataCentre: DATA_CENTRE,
      platform,
      administratorKeySha256: this.administratorKey.sha256,
      logs: { level: 'warn' }
    }))
    const entry = await this.launch('entry', '@limpetwinch/entry', 'limpetwinch-entry', ['--settings', file], entryLine)
    if (entry.isErr()) return err(entry.error)
    const { listening, instance } = entry.value
    this.caller = listening.caller
    this.admin = listening.admin
    await registerInstance(platform, { id: instance, kind: 'entry', address: listening.peer, dataCentre: DATA_CENTRE })
    return await untilReady('entry', listening.admin, () => false)
  }

  private async launch<Line> (name: string, packageName: string, binary: string, scriptArguments: readonly string[], schema: z.ZodType<Line>): Promise<Result<Line, LimpetwinchError>> {
    const script = join(dirname(resolveFrom.resolve(packageName)), 'bin', `${binary}.js`)
    const pass = (line: string): void => { process.stderr.write(`[${name}] ${line}\n`) }
    const launched = new LaunchedProcess({ name, script, scriptArguments }, (reason) => pass(`ended unexpectedly with ${reason}`), pass)
    this.processes.push(launched)
    const line = await launched.untilReady(START_TIMEOUT_MILLISECONDS)
    return line.isErr() ? err(line.error) : ok(schema.parse(line.value))
  }
}
