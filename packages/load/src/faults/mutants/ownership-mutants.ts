/** An owner that keeps acting on an expired lease. */
import { HttpEngineClient, splitLoadedName } from '@limpetwinch/core'
import type { AdapterOrder, AdapterReference, EngineReport, EngineSettings, GenerateRequest, GenerationEventResult, LimpetwinchError, LoadedName } from '@limpetwinch/core'
import { StoreOwnership } from '@limpetwinch/entry'
import type { OwnerRights, OwnershipRecord, StoreOwnershipOptions } from '@limpetwinch/entry'
import type { ResultAsync } from 'neverthrow'
import { FaultRunComponents } from '../fault-run-components.js'

/** Reports every endpoint it has ever owned as still owned, and always grants itself the right to admit and to evict. */
class ExpiredLeaseOwnership extends StoreOwnership {
  private readonly everOwned = new Map<string, OwnershipRecord>()

  override owned (): readonly OwnershipRecord[] {
    for (const record of super.owned()) this.everOwned.set(record.endpoint, record)
    return [...this.everOwned.values()]
  }

  override rights (): OwnerRights {
    return { mayAdmit: true, mayEvict: true }
  }
}

/**
 * Loads adapters under names without the fencing token. A late order of an earlier owner then names the same loaded
 * adapter that requests of the current owner use.
 */
class UnfencedNamesClient extends HttpEngineClient {
  private readonly fullNames = new Map<string, LoadedName>()

  override load (order: AdapterOrder, source: AdapterReference): ResultAsync<void, LimpetwinchError> {
    return super.load({ ...order, name: this.withoutToken(order.name) }, source)
  }

  override unload (order: AdapterOrder): ResultAsync<void, LimpetwinchError> {
    return super.unload({ ...order, name: this.withoutToken(order.name) })
  }

  override report (): ResultAsync<EngineReport, LimpetwinchError> {
    return super.report().map((report) => ({ ...report, loaded: report.loaded.map((name) => this.fullNames.get(name) ?? name) }))
  }

  override async * generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    const { adapter } = generation
    const unfencedName = adapter === undefined ? undefined : this.withoutToken(adapter)
    for await (const result of super.generate({ ...generation, adapter: unfencedName }, signal)) {
      const ended = result.ok && result.event.kind === 'end'
      yield ended ? { ok: true, event: { kind: 'end', end: { ...result.event.end, adapter } } } : result
    }
  }

  private withoutToken (name: LoadedName): LoadedName {
    const { adapter } = splitLoadedName(name)
    this.fullNames.set(adapter, name)
    return adapter as LoadedName
  }
}

/**
 * Components without fencing: an owner acts on its expired lease, and on engines that ignore fencing tokens the adapter
 * names do not carry the token either.
 */
export class ExpiredLeaseComponents extends FaultRunComponents {
  override ownership (options: StoreOwnershipOptions): StoreOwnership {
    return new ExpiredLeaseOwnership(options)
  }

  override engineClient (engine: EngineSettings): HttpEngineClient {
    return engine.fencing === 'ignores' ? new UnfencedNamesClient(engine.endpoint, engine.url) : super.engineClient(engine)
  }
}
