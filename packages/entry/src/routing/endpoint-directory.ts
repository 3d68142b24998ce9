/**
 * What this instance knows about each engine, from the digests of the engine's owner and the requests that this instance
 * sent after those digests.
 */
import { enginesOf } from '@limpetwinch/core'
import type { EndpointDigestFrame, EndpointId, EngineSettings, InstanceId, OperatorSettings } from '@limpetwinch/core'
import { CopyCounter } from '../scheduling/digest.js'

/**
 * What this instance knows about one endpoint: the latest digest, which is the state of the endpoint that the endpoint's owner
 * broadcasts, and the admission requests that this instance sent after that digest.
 */
export interface EndpointState {
  readonly owner: InstanceId
  readonly digest: EndpointDigestFrame
  /** The adapters loaded on the engine. */
  readonly adapters: ReadonlySet<string>
  /** Monotonic milliseconds. */
  readonly digestReceivedAt: number
  /** Number of admission requests for the endpoint that this instance sent after the digest. */
  sentSince: number
  /** Adapters that this instance requested after the digest and that were not loaded. Their loads are pending or in progress. */
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

  /** @returns the state of an engine, or undefined if no digest of the engine has been received */
  get (endpoint: EndpointId): EndpointState | undefined {
    return this.states.get(endpoint)
  }

  /**
   * Applies a digest. A digest with an older token comes from an owner that has been replaced. Such a digest is ignored,
   * because applying it would send requests to an instance that refuses them.
   *
   * @param from - the owner that sent the digest
   * @param digest - the digest
   * @param now - monotonic milliseconds
   * @returns false if a digest was missed, so that the listed adapters are incomplete until the next full digest
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

  /** Records an admission request sent for an endpoint. The next digest from the endpoint's owner resets the record. */
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
