/** A minimal in-memory engine that keeps its loaded adapters, its running requests and the highest fencing token seen. */
import { EngineClient, LimpetwinchError } from '@limpetwinch/core'
import type { AdapterOrder, CacheEvent, EngineReport, FencingToken, GenerationEventResult, LoadedName, RequestId } from '@limpetwinch/core'
import { errAsync, okAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'

export class EngineInMemory extends EngineClient {
  readonly loaded = new Set<LoadedName>()
  readonly running = new Map<RequestId, LoadedName>()
  highestToken = 0
  private readonly refusesOldTokens: boolean

  constructor (fencing: 'refuses' | 'ignores') {
    super()
    this.refusesOldTokens = fencing === 'refuses'
  }

  override load (order: AdapterOrder): ResultAsync<void, LimpetwinchError> {
    return this.ordered(order.token).andTee(() => { this.loaded.add(order.name) })
  }

  override unload (order: AdapterOrder): ResultAsync<void, LimpetwinchError> {
    return this.ordered(order.token).andTee(() => { this.loaded.delete(order.name) })
  }

  override configure (_: object, token: FencingToken): ResultAsync<void, LimpetwinchError> {
    return this.ordered(token)
  }

  override report (): ResultAsync<EngineReport, LimpetwinchError> {
    return okAsync({
      madeAt: Date.now(),
      engineRun: 'run',
      baseModel: 'base',
      role: 'serve',
      slots: 2,
      loaded: [...this.loaded],
      running: [...this.running].map(([requestId, adapter]) => ({ requestId, adapter })),
      queued: 0,
      batchCapacity: 16,
      batchFill: 0
    })
  }

  override generate (): AsyncIterable<GenerationEventResult> {
    throw new Error('not used here')
  }

  override resume (): AsyncIterable<GenerationEventResult> {
    throw new Error('not used here')
  }

  override cancel (): ResultAsync<void, LimpetwinchError> {
    return okAsync(undefined)
  }

  override cacheEvents (): ResultAsync<readonly CacheEvent[], LimpetwinchError> {
    return okAsync([])
  }

  private ordered (token: FencingToken): ResultAsync<void, LimpetwinchError> {
    if (this.refusesOldTokens && token < this.highestToken) return errAsync(new LimpetwinchError('stale-fencing-token', { endpoint: 'e0' }))
    this.highestToken = Math.max(this.highestToken, token)
    return okAsync(undefined)
  }
}
