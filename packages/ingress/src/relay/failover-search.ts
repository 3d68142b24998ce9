/** Looks for another engine for a stream whose engine says nothing. The stream stays where it is until one is found. */
import type { FoundEngine } from '../adapters/engine-finder.js'

/** The searches of one try; one at a time. */
export class FailoverSearch {
  private readonly search: (ending: AbortSignal) => Promise<FoundEngine | undefined>
  private readonly onFound: () => void
  private ending: AbortController | undefined
  private pendingSearch: Promise<void> = Promise.resolve()
  private found: FoundEngine | undefined
  private ended = false

  /**
   * @param search - looks for an engine until the signal ends
   * @param onFound - called when the stream can go on there
   */
  constructor (search: (ending: AbortSignal) => Promise<FoundEngine | undefined>, onFound: () => void) {
    this.search = search
    this.onFound = onFound
  }

  /** The engine says nothing. */
  start (): void {
    if (this.ended || this.ending !== undefined || this.found !== undefined) return
    const ending = new AbortController()
    this.ending = ending
    this.pendingSearch = this.runSearch(ending)
    this.pendingSearch.catch(() => {
      // A fault of the search is told at the end of the try; until then the stream stays where it is.
    })
  }

  /** The engine is heard again. */
  stop (): void {
    this.ending?.abort()
    this.ending = undefined
  }

  /** The try has ended. @returns the engine that was found */
  async end (): Promise<FoundEngine | undefined> {
    this.ended = true
    this.stop()
    await this.pendingSearch
    return this.found
  }

  private async runSearch (ending: AbortController): Promise<void> {
    const engine = await this.search(ending.signal).finally(() => {
      if (this.ending === ending) this.ending = undefined
    })
    if (engine === undefined || ending.signal.aborted) return
    this.found = engine
    this.onFound()
  }
}
