/** The development deployment: its processes, and the settings and registrations by which they find each other. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Logger } from '@limpetwinch/core'
import { z } from 'zod'
import { putSettingsByCommandLine } from './command-line.js'
import { LaunchedProcess } from './launched-process.js'
import { registerInstance } from './register-instance.js'
import { BASE_MODEL, ENGINE_BATCH_CAPACITY, ENGINE_SLOTS, makeKey, sampleSettings } from './sample-settings.js'
import type { DevelopmentKey, SampleEngine, SampleService, SettingsFile } from './sample-settings.js'
import { untilSettingsInForce, untilReady } from './until-ready.js'

/** An entry instance that is listening, with its URLs for callers and operators. */
export interface RunningEntry {
  readonly name: string
  readonly caller: string
  readonly admin: string
}

/** URLs and endpoints of a running deployment. */
export interface RunningDeployment {
  readonly platform: string
  readonly engines: readonly SampleEngine[]
  readonly services: readonly SampleService[]
  readonly entries: readonly RunningEntry[]
}

const DATA_CENTRES = ['north', 'south']
const ENGINES: readonly Omit<SampleEngine, 'url'>[] = [
  { id: 'engine-north-1', dataCentre: 'north', fencing: 'refuses' },
  { id: 'engine-north-2', dataCentre: 'north', fencing: 'ignores' },
  { id: 'engine-south-1', dataCentre: 'south', fencing: 'refuses' }
]
const SERVICES: readonly Omit<SampleService, 'url'>[] = [{ id: 'echo-north-1', dataCentre: 'north' }]
const HOST = '127.0.0.1'

const standInLine = z.object({ listening: z.string() })
const entryLine = z.object({
  listening: z.object({ caller: z.string(), admin: z.string(), peer: z.string() }),
  instance: z.string()
})

/** Starts and stops the processes of one deployment. */
export class Deployment {
  readonly callerKey: DevelopmentKey = makeKey()
  readonly administratorKey: DevelopmentKey = makeKey()
  /** Names of processes that ended unexpectedly or had to be killed. */
  readonly lost: string[] = []
  private readonly processes: LaunchedProcess[] = []
  private readonly logger: Logger
  private readonly forwardsLines: boolean
  private folder: string | undefined
  private stopping = false

  /**
   * @param logger - logger for processes that fail
   * @param forwardsLines - whether to print the log lines of the processes
   */
  constructor (logger: Logger, forwardsLines: boolean) {
    this.logger = logger
    this.forwardsLines = forwardsLines
  }

  /** @returns the running deployment, or the first failure; {@link Deployment.stop} must be called in both cases */
  async start (): Promise<Result<RunningDeployment, LimpetwinchError>> {
    this.folder = await mkdtemp(join(tmpdir(), 'limpetwinch-develop-'))
    const platform = await this.startStandIn('platform', 'platform', [])
    if (platform.isErr()) return err(platform.error)
    const engines = await this.startEngines(platform.value)
    if (engines.isErr()) return err(engines.error)
    const services = await this.startServices()
    if (services.isErr()) return err(services.error)
    for (const endpoint of [...engines.value, ...services.value]) {
      await registerInstance(platform.value, { id: endpoint.id, kind: 'endpoint', address: endpoint.url, dataCentre: endpoint.dataCentre })
    }
    const entries = await this.startEntries(platform.value)
    if (entries.isErr()) return err(entries.error)
    const files = sampleSettings(this.callerKey, engines.value, services.value)
    const written = await this.putSettings(entries.value, files)
    if (written.isErr()) return err(written.error)
    return ok({ platform: platform.value, engines: engines.value, services: services.value, entries: entries.value })
  }

  /** Stops all processes. Entry instances are stopped first, so that the platform and the endpoints are still available during their shutdown. */
  async stop (): Promise<void> {
    this.stopping = true
    const entries = this.processes.filter((launched) => launched.name.startsWith('entry'))
    const others = this.processes.filter((launched) => !launched.name.startsWith('entry'))
    await Promise.all(entries.map((launched) => this.stopOne(launched)))
    await Promise.all(others.map((launched) => this.stopOne(launched)))
    if (this.folder !== undefined) await rm(this.folder, { recursive: true, force: true })
  }

  /** @returns the latest log lines of all processes, each prefixed with the name of its process */
  recentLines (): string[] {
    return this.processes.flatMap((launched) => launched.recentLines.map((line) => `[${launched.name}] ${line}`))
  }

  /** Writes settings through the first entry instance and waits until they are in force at all instances. */
  private async putSettings (entries: readonly RunningEntry[], files: readonly SettingsFile[]): Promise<Result<void, LimpetwinchError>> {
    const isAborted = (): boolean => this.lost.length > 0
    for (const entry of entries) {
      const ready = await untilReady(entry.name, entry.admin, isAborted)
      if (ready.isErr()) return err(ready.error)
    }
    const { key } = this.administratorKey
    const put = await putSettingsByCommandLine({ server: entries[0]?.admin ?? '', key }, this.folder ?? tmpdir(), files)
    if (put.isErr()) return err(put.error)
    for (const entry of entries) {
      const inForce = await untilSettingsInForce(entry.name, entry.admin, key, files.length, isAborted)
      if (inForce.isErr()) return err(inForce.error)
    }
    return ok()
  }

  private async startEngines (platform: string): Promise<Result<SampleEngine[], LimpetwinchError>> {
    const started: SampleEngine[] = []
    for (const engine of ENGINES) {
      const url = await this.startStandIn('engine', engine.id, [
        '--name', engine.id, '--platform', platform, '--fencing', engine.fencing, '--base-model', BASE_MODEL,
        '--slots', String(ENGINE_SLOTS), '--batch-capacity', String(ENGINE_BATCH_CAPACITY)
      ])
      if (url.isErr()) return err(url.error)
      started.push({ ...engine, url: url.value })
    }
    return ok(started)
  }

  private async startServices (): Promise<Result<SampleService[], LimpetwinchError>> {
    const started: SampleService[] = []
    for (const service of SERVICES) {
      const url = await this.startStandIn('service', service.id, ['--name', service.id])
      if (url.isErr()) return err(url.error)
      started.push({ ...service, url: url.value })
    }
    return ok(started)
  }

  private async startEntries (platform: string): Promise<Result<RunningEntry[], LimpetwinchError>> {
    const started: RunningEntry[] = []
    for (const dataCentre of DATA_CENTRES) {
      const entry = await this.startEntry(platform, dataCentre)
      if (entry.isErr()) return err(entry.error)
      started.push(entry.value)
    }
    return ok(started)
  }

  private async startEntry (platform: string, dataCentre: string): Promise<Result<RunningEntry, LimpetwinchError>> {
    const name = `entry-${dataCentre}`
    const file = join(this.folder ?? tmpdir(), `${name}.jsonc`)
    const settings = {
      address: { host: HOST, callerPort: 0, adminPort: 0, peerPort: 0 },
      dataCentre,
      platform,
      administratorKeySha256: this.administratorKey.sha256
    }
    await writeFile(file, `// Settings of the instance in '${dataCentre}'; port 0 picks a free one.\n${JSON.stringify(settings, null, 2)}\n`)
    const line = await this.startProcess(name, '../../../entry/dist/bin/limpetwinch-entry.js', ['--settings', file], entryLine)
    if (line.isErr()) return err(line.error)
    const { listening, instance } = line.value
    await registerInstance(platform, { id: instance, kind: 'entry', address: listening.peer, dataCentre })
    return ok({ name, caller: listening.caller, admin: listening.admin })
  }

  private async startStandIn (kind: string, name: string, scriptArguments: readonly string[]): Promise<Result<string, LimpetwinchError>> {
    const line = await this.startProcess(name, `../bin/limpetwinch-stand-in-${kind}.js`, scriptArguments, standInLine)
    return line.map((ready) => ready.listening)
  }

  private async startProcess<Line> (name: string, script: string, scriptArguments: readonly string[], schema: z.ZodType<Line>): Promise<Result<Line, LimpetwinchError>> {
    // A process that is started while the deployment is being stopped would never be stopped.
    if (this.stopping) return err(new LimpetwinchError('process-failed', { name, reason: 'the deployment is being stopped' }))
    const launch = { name, script: fileURLToPath(new URL(script, import.meta.url)), scriptArguments }
    const launched = new LaunchedProcess(launch, (reason) => this.reportLost(name, reason), (line) => this.forwardLine(name, line))
    this.processes.push(launched)
    const line = await launched.untilReady()
    if (line.isErr()) return err(line.error)
    const parsed = schema.safeParse(line.value)
    if (parsed.success) return ok(parsed.data)
    return err(new LimpetwinchError('process-failed', { name, reason: `its first line on standard output has an unexpected format: ${z.prettifyError(parsed.error)}` }))
  }

  private async stopOne (launched: LaunchedProcess): Promise<void> {
    if (await launched.stop()) return
    this.lost.push(launched.name)
    this.logger.error(`Process '${launched.name}' did not end after SIGTERM and was killed.`)
  }

  private reportLost (name: string, reason: string): void {
    this.lost.push(name)
    this.logger.error(`Process '${name}' ended unexpectedly with ${reason}.`)
  }

  private forwardLine (name: string, line: string): void {
    if (this.forwardsLines) process.stderr.write(`[${name}] ${line}\n`)
  }
}
