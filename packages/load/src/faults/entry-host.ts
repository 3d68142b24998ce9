/** Hosts that run one entry instance of a fault run, either in this process or in a separate one. */
import type { EntryInstance } from '@limpetwinch/entry'

/** Id of an instance and the URLs of its interfaces for callers, administrators and peers. */
export interface HostedEntry {
  readonly instance: string
  readonly caller: string
  readonly admin: string
  readonly peer: string
}

/** Starts and ends one instance. */
export abstract class EntryHost {
  /** Starts the instance; resolves when the instance listens. */
  abstract start (): Promise<HostedEntry>

  /** Stops the instance as planned; resolves when the instance has ended. */
  abstract stop (): Promise<void>

  /** Ends the instance without letting its requests finish. */
  abstract kill (): Promise<void>
}

/** Runs an instance in this process. It starts quickly, but tasks that run at a kill continue until they end by themselves. */
export class LocalEntryHost extends EntryHost {
  private readonly entry: EntryInstance

  /** @param entry - an instance that has not been started */
  constructor (entry: EntryInstance) {
    super()
    this.entry = entry
  }

  override async start (): Promise<HostedEntry> {
    const listening = await this.entry.start()
    return { instance: this.entry.instance, ...listening }
  }

  override async stop (): Promise<void> {
    await this.entry.stop()
  }

  override async kill (): Promise<void> {
    await this.entry.kill()
  }
}
