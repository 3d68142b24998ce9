/** What this instance knows about each engine, from the digests of its owner and the requests that it sent after them. */
import { enginesOf } from '@limpetwinch/core'
import type { EndpointDigestFrame, EndpointId, EngineSettings, InstanceId, OperatorSettings } from '@limpetwinch/core'
import { CopyCounter } from '../scheduling/digest.js'

/** The latest digest of an endpoint's owner, and what this instance sent after it. */
export interface EndpointState {
  readonly owner: InstanceId
  readonly digest: EndpointDigestFrame
  readonly adapters: ReadonlySet<string>
  readonly digestReceivedAt: number
  /** Requests that this instance sent to the endpoint after that digest. */
  sentSince: number
  /** Adapters that this instance requested after that digest and that were not loaded. Their loads are pending or in progress. */
  readonly adaptersRequestedSince: Set<string>
}

/** Keeps the state of all engines by endpoint id. */
export class EndpointDirectory extends CopyCounter {
  private readonly states = new Map<EndpointId, EndpointState>()
  private settings: OperatorSettings | undefined
  private engines: EngineSettings[] = []

  /** @returns the engines listed in the settings */
  enginesIn (settings: OperatorSettings): readonly EngineSettings[] {
    if (this.settings !== settings) {
      this.settings = settings
      this.engines = enginesOf(settings)
    }
    return this.engines
  }

  /** @returns the state of an engine, or undefined if no digest has been received */
  get (endpoint: EndpointId): EndpointState | undefined {
    return this.states.get(endpoint)
  }

  /**
   * Applies a digest. A digest with an older token comes from an owner that has been replaced. It is ignored, because
   * applying it would send requests to an instance that refuses them.
   *
   * @param from - the owner that sent the digest
   * @param digest - the digest
   * @param now - monotonic milliseconds
   * @returns false if a digest was missed, so that the adapters are incomplete until the next full digest
   */
  applyDigest (from: InstanceId, digest: EndpointDigestFrame, now: number): boolean {
    const before = this.states.get(digest.endpoint)
    if (before !== undefined && digest.token < before.digest.token) return true
    const follows = before !== undefined && before.digest.token === digest.token && digest.sequence === before.digest.sequence + 1
    const adapters = new Set(digest.full || !follows ? [] : before.adapters)
    for (const adapter of digest.added) adapters.add(adapter)
    for (const adapter of digest.removed) adapters.delete(adapter)
    this.states.set(digest.endpoint, { owner: from, digest, adapters, digestReceivedAt: now, sentSince: 0, adaptersRequestedSince: new Set() })
    return digest.full || follows
  }

  /** Records a request sent to an endpoint. The next digest of the owner resets the record. */
  sent (endpoint: EndpointId, adapter: string | undefined): void {
    const state = this.states.get(endpoint)
    if (state === undefined) return
    state.sentSince += 1
    if (adapter !== undefined && !state.adapters.has(adapter)) state.adaptersRequestedSince.add(adapter)
  }

  /** Sets the new owner that the previous owner named, before the first digest of the new owner arrives. */
  setOwner (endpoint: EndpointId, owner: InstanceId): void {
    const state = this.states.get(endpoint)
    if (state !== undefined) this.states.set(endpoint, { ...state, owner })
  }

  override copiesElsewhere (adapter: string, endpoint: EndpointId): number {
    let copies = 0
    for (const [other, state] of this.states) {
      if (other !== endpoint && state.adapters.has(adapter)) copies += 1
    }
    return copies
  }
}
