/** What this instance knows of each engine, from the owners' digests and from what it sent since. */
import { enginesOf } from '@limpetwinch/core'
import type { EndpointDigestFrame, EndpointId, EngineSettings, InstanceId, OperatorSettings } from '@limpetwinch/core'
import { CopyCounter } from '../scheduling/digest.js'

/** The newest word of an owner. */
export interface EndpointState {
  readonly owner: InstanceId
  readonly digest: EndpointDigestFrame
  readonly adapters: ReadonlySet<string>
  readonly digestReceivedAt: number
  /** Requests sent to it by this instance after that word. */
  sentSince: number
  /** Adapters asked for since, whose load is under way or about to be. */
  readonly adaptersRequestedSince: Set<string>
}

/** All engines by id. */
export class EndpointDirectory extends CopyCounter {
  private readonly known = new Map<EndpointId, EndpointState>()
  private settings: OperatorSettings | undefined
  private engines: EngineSettings[] = []

  /** @returns the engines of the settings in force */
  enginesIn (settings: OperatorSettings): readonly EngineSettings[] {
    if (this.settings !== settings) {
      this.settings = settings
      this.engines = enginesOf(settings)
    }
    return this.engines
  }

  /** @returns what is known of an engine */
  get (endpoint: EndpointId): EndpointState | undefined {
    return this.known.get(endpoint)
  }

  /**
   * Takes up an owner's word. One with an older token comes from an owner that has been replaced; taking it up would
   * send requests to an instance that refuses them.
   *
   * @param from - who says so
   * @param digest - what it says
   * @param now - monotonic milliseconds
   * @returns false when adapters are missing and a full digest has to be awaited
   */
  applyDigest (from: InstanceId, digest: EndpointDigestFrame, now: number): boolean {
    const before = this.known.get(digest.endpoint)
    if (before !== undefined && digest.token < before.digest.token) return true
    const follows = before !== undefined && before.digest.token === digest.token && digest.sequence === before.digest.sequence + 1
    const adapters = new Set(digest.full || !follows ? [] : before.adapters)
    for (const adapter of digest.added) adapters.add(adapter)
    for (const adapter of digest.removed) adapters.delete(adapter)
    this.known.set(digest.endpoint, { owner: from, digest, adapters, digestReceivedAt: now, sentSince: 0, adaptersRequestedSince: new Set() })
    return digest.full || follows
  }

  /** Counts a request sent, until the next word of the owner. */
  sent (endpoint: EndpointId, adapter: string | undefined): void {
    const knowledge = this.known.get(endpoint)
    if (knowledge === undefined) return
    knowledge.sentSince += 1
    if (adapter !== undefined && !knowledge.adapters.has(adapter)) knowledge.adaptersRequestedSince.add(adapter)
  }

  /** Takes up a new owner as its predecessor names it, before its first digest comes. */
  setOwner (endpoint: EndpointId, owner: InstanceId): void {
    const knowledge = this.known.get(endpoint)
    if (knowledge !== undefined) this.known.set(endpoint, { ...knowledge, owner })
  }

  override copiesElsewhere (adapter: string, endpoint: EndpointId): number {
    let copies = 0
    for (const [other, knowledge] of this.known) {
      if (other !== endpoint && knowledge.adapters.has(adapter)) copies += 1
    }
    return copies
  }
}
