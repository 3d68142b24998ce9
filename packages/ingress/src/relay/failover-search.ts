/** Searches for another engine for a stream whose engine is unresponsive. The stream stays on its engine until another engine is found. */
import type { FoundEngine } from '../adapters/engine-finder.js'

/** The searches during one attempt; at most one runs at a time. */
export class FailoverSearch {
  private readonly search: (ending: AbortSignal) => Promise<FoundEngine | undefined>
  private readonly onFound: () => void
  private ending: AbortController | undefined
  private pendingSearch: Promise<void> = Promise.resolve()
  private found: FoundEngine | undefined
  private ended = false

  /**
   * @param search - searches for an engine until the signal is aborted
   * @param onFound - called when the stream can continue on another engine
   */
  constructor (search: (ending: AbortSignal) => Promise<FoundEngine | undefined>, onFound: () => void) {
    this.search = search
    this.onFound = onFound
  }

  /** Starts a search because the engine is unresponsive, unless a search already runs or another engine was already found. */
  start (): void {
    if (this.ended || this.ending !== undefined || this.found !== undefined) return
    const ending = new AbortController()
    this.ending = ending
    this.pendingSearch = this.runSearch(ending)
    this.pendingSearch.catch(() => {
      // `end` rethrows the error of a search; until then the stream stays on its engine.
    })
  }

  /** Cancels the search because the engine responds again. */
  stop (): void {
    this.ending?.abort()
    this.ending = undefined
  }

  /** Ends all searches with the attempt. @returns the engine that was found, if any */
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
