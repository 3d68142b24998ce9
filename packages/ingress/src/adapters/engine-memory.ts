/** How many adapters an engine can hold: its slots bound them, and so does its memory, which its models and their adapters share. */
import { modelOf } from '../routes/configuration.js'
import type { AdapterKey, EngineShape, ModelName } from '../routes/configuration.js'

/**
 * @param models - the models that the engine holds
 * @returns the memory beside the models, in megabytes; Infinity where the configuration does not state the memory of the engine
 */
export function megabytesForAdapters (shape: EngineShape, models: readonly ModelName[]): number {
  if (shape.megabytes === 0) return Infinity
  return shape.models.reduce((left, { name, megabytes }) => models.includes(name) ? left - megabytes : left, shape.megabytes)
}

/** @returns the memory that an adapter takes, in megabytes; 0 where the configuration does not state it */
export function adapterMegabytes (shape: EngineShape, key: AdapterKey): number {
  const model = modelOf(key)
  return shape.models.find(({ name }) => name === model)?.adapterMegabytes ?? 0
}

/**
 * @param models - the models that the engine holds
 * @param model - the model that the adapters belong to
 * @returns the number of adapters of the model that the engine can hold at one time when it holds no others
 */
export function adapterCapacity (shape: EngineShape, models: readonly ModelName[], model: ModelName): number {
  const each = shape.models.find(({ name }) => name === model)?.adapterMegabytes ?? 0
  const fitting = each === 0 ? Infinity : Math.floor(megabytesForAdapters(shape, models) / each)
  return Math.max(0, Math.min(shape.adapterSlots, fitting))
}

/** @returns whether not even an engine that holds nothing but the model has room for one adapter of it */
export function isAdapterTooLarge (shape: EngineShape, model: ModelName): boolean {
  return adapterCapacity(shape, [model], model) === 0
}

/** @returns whether an engine that holds these models holds this one and has room for at least one adapter of it */
export function canLoadAdapters (shape: EngineShape, models: readonly ModelName[], model: ModelName): boolean {
  return models.includes(model) && adapterCapacity(shape, models, model) > 0
}
