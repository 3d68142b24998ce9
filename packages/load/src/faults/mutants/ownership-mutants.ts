/** An owner that trusts its lease alone. */
import { HttpEngineClient, splitLoadedName } from '@limpetwinch/core'
import type { AdapterOrder, AdapterReference, EngineReport, EngineSettings, GenerateRequest, GenerationEventResult, LimpetwinchError, LoadedName } from '@limpetwinch/core'
import { StoreOwnership } from '@limpetwinch/entry'
import type { OwnerRights, OwnershipRecord, StoreOwnershipOptions } from '@limpetwinch/entry'
import type { ResultAsync } from 'neverthrow'
import { FaultRunComponents } from '../fault-run-components.js'

/** Goes on with what it owned when another has taken over, and needs no proof that nobody has. */
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

/** Names adapters without the token, so that a late order names what the present owner's requests use. */
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
    const withoutToken = adapter === undefined ? undefined : this.withoutToken(adapter)
    for await (const result of super.generate({ ...generation, adapter: withoutToken }, signal)) {
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

/** Parts for which the lease is the only safeguard against an earlier owner. */
export class ExpiredLeaseComponents extends FaultRunComponents {
  override ownership (options: StoreOwnershipOptions): StoreOwnership {
    return new ExpiredLeaseOwnership(options)
  }

  override engineClient (engine: EngineSettings): HttpEngineClient {
    return engine.fencing === 'ignores' ? new UnfencedNamesClient(engine.endpoint, engine.url) : super.engineClient(engine)
  }
}
