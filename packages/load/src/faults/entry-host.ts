/** One entry instance of a fault run, in this process or in one of its own. */
import type { EntryInstance } from '@limpetwinch/entry'

/** Where callers reach an instance, and who it is. */
export interface HostedEntry {
  readonly instance: string
  readonly caller: string
  readonly admin: string
  readonly peer: string
}

/** Runs one instance. */
export abstract class EntryHost {
  /** Starts it; resolves when it listens. */
  abstract start (): Promise<HostedEntry>

  /** Stops it as planned; resolves when it has ended. */
  abstract stop (): Promise<void>

  /** Ends it at once. */
  abstract kill (): Promise<void>
}

/** Runs an instance here: quick to start, but a kill leaves its last tasks to end by themselves. */
export class LocalEntryHost extends EntryHost {
  private readonly entry: EntryInstance

  /** @param entry - the instance, not yet started */
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
