/** One entry instance in the test process, with stand-ins for platform, engine and service. */
import { createHash } from 'node:crypto'
import { SETTINGS_PREFIX, silentLogger } from '@limpetwinch/core'
import type { DataCentreId, InstanceSettings, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import { EntryInstance } from '@limpetwinch/entry'
import { StandInEngine, StandInPlatform, StandInService } from '@limpetwinch/stand-ins'
import type { StandInEngineOptions } from '@limpetwinch/stand-ins'
import { request } from 'undici'
import { vi } from 'vitest'

export const KEY = 'key-of-history'
export const OTHER_KEY = 'key-of-geography'
export const ADMINISTRATOR_KEY = 'key-of-administrators'

/** @returns the SHA-256 of a key in hexadecimal, as the settings store it */
export function sha256 (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

const TEAM = { adapters: { essays: { baseModel: 'base-1', versions: ['v1', 'v2'], current: 'v2' } } }

/** A response of the caller API. */
export interface CallerResponse {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly text: string
}

/** Options of the instance and its engine. */
export interface RunningEntryOptions {
  readonly engine?: Partial<StandInEngineOptions>
  readonly limits?: Partial<InstanceSettings['limits']>
  readonly teamLimits?: Record<string, number>
  readonly longestRequestSeconds?: number
  /** Number of adapter slots of the engine in the settings. */
  readonly slots?: number
}

/** An entry instance with everything that a request passes through, in one process. */
export class RunningEntry {
  readonly platform = new StandInPlatform({ listLag: 0 })
  readonly engine: StandInEngine
  readonly service = new StandInService({ name: 'echo-1' })
  entry!: EntryInstance
  url = ''
  admin = ''
  private readonly options: RunningEntryOptions

  constructor (options: RunningEntryOptions = {}) {
    this.options = options
    this.engine = new StandInEngine({ name: 'engine-1', stepMilliseconds: 2, loadMilliseconds: 2, reportLag: 10, reportInterval: 10, ...options.engine })
  }

  /** Starts the stand-ins and the instance; resolves when the instance is ready. */
  async start (): Promise<void> {
    await this.platform.listen()
    await Promise.all([this.engine.listen(), this.service.listen()])
    await this.put('/endpoints', {
      engines: {
        'engine-1': { url: this.engine.url, dataCentre: 'north', baseModel: 'base-1', slots: this.options.slots ?? 4, batchCapacity: 16, fencing: 'refuses' }
      },
      services: { echo: { endpoints: { 'echo-1': { url: this.service.url, dataCentre: 'north' } } } }
    })
    await this.put('/policy', { loadsPerSecond: 100, longestRequestSeconds: this.options.longestRequestSeconds ?? 60 })
    const limits = this.options.teamLimits === undefined ? {} : { limits: this.options.teamLimits }
    await this.put('/teams/history', { ...TEAM, ...limits, keys: [{ label: 'main', sha256: sha256(KEY) }] })
    await this.put('/teams/geography', { ...TEAM, keys: [{ label: 'main', sha256: sha256(OTHER_KEY) }] })
    this.entry = new EntryInstance(this.instanceSettings(), silentLogger())
    const listening = await this.entry.start()
    this.url = listening.caller
    this.admin = listening.admin
    await vi.waitFor(() => { if (!this.entry.isReady) throw new Error('not ready') }, { timeout: 30_000, interval: 20 })
  }

  /** Ends the instance and the stand-ins. */
  async stop (): Promise<void> {
    await this.entry.kill()
    await Promise.all([this.engine.close(), this.service.close(), this.platform.close()])
  }

  /** Sends a POST request to the caller API. */
  async call (path: string, body: string | Buffer, headers: Record<string, string> = {}, signal?: AbortSignal): Promise<CallerResponse> {
    const response = await request(this.url + path, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json', ...headers },
      body,
      ...(signal === undefined ? {} : { signal })
    })
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
  }

  /** Requests a text completion. */
  async complete (fields: Record<string, unknown> = {}, headers: Record<string, string> = {}, signal?: AbortSignal): Promise<CallerResponse> {
    return await this.call('/v1/completions', JSON.stringify({ model: 'history/essays', prompt: 'Why?', max_tokens: 8, seed: 7, ...fields }), headers, signal)
  }

  /** @returns the number of requests that the engine has started to run */
  get runs (): number {
    return this.engine.history.all().filter((event) => event.event === 'run-started').length
  }

  private async put (path: string, value: unknown): Promise<void> {
    const document: SettingsDocument = {
      path: path as SettingsPath, revision: 1 as Revision, text: JSON.stringify(value), writeId: `write of ${path}`, acceptedAt: 0, author: 'test'
    }
    const body = JSON.stringify({ path: SETTINGS_PREFIX + path, ifVersion: 0, value: document })
    const response = await request(`${this.platform.url}/objects`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body })
    if (response.statusCode !== 200) throw new Error(await response.body.text())
    await response.body.dump()
  }

  private instanceSettings (): InstanceSettings {
    return {
      address: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
      dataCentre: 'north' as DataCentreId,
      platform: this.platform.url,
      administratorKeySha256: sha256(ADMINISTRATOR_KEY),
      logs: { format: 'text', level: 'error' },
      limits: { bodyBytes: 65_536, headerBytes: 16_384, connections: 200, headerSeconds: 5, bodySeconds: 5, stopSeconds: 20, ...this.options.limits },
      timing: { heartbeatMilliseconds: 100, suspectMilliseconds: 400, instanceListMilliseconds: 100, settingsWatchMilliseconds: 500 }
    }
  }
}
