/** Counts the engines with adapter slots, and the adapters that those that hold a model have in use and could hold. */
import type { Clock } from '@limpetwinch/core'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { Endpoint, EngineShape, ModelName, ServiceName } from '../routes/configuration.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import { adapterCapacity } from './engine-memory.js'
import type { EngineUsage } from './model-need.js'

/** The engines of the configuration in force. */
export class EngineInventory {
  private readonly directory: EndpointDirectory
  private readonly configuration: AcceptedConfiguration
  private readonly workTracker: EndpointWorkTracker
  private readonly clock: Clock
  /** Each request reads the number of engines, so it is kept until endpoints or the configuration change. */
  private count: number | undefined

  constructor (directory: EndpointDirectory, configuration: AcceptedConfiguration, workTracker: EndpointWorkTracker, clock: Clock) {
    this.directory = directory
    this.configuration = configuration
    this.workTracker = workTracker
    this.clock = clock
    const forgetCount = (): void => { this.count = undefined }
    directory.onListing(forgetCount)
    directory.onChange(forgetCount)
    configuration.onChange(forgetCount)
  }

  /** Number of engines with adapter slots. */
  get engineCount (): number {
    this.count ??= this.directory.all().filter(({ service }) => (this.shapeOf(service)?.adapterSlots ?? 0) > 0).length
    return this.count
  }

  /** @returns the adapters that each engine of the endpoint's service that holds the model could hold and has in use */
  usageOf (endpoint: Endpoint, model: ModelName): EngineUsage[] {
    const shape = this.shapeOf(endpoint.service)
    if (shape === undefined) return []
    const now = this.clock.now()
    return this.directory.servable(endpoint.service)
      .filter((engine) => engine.models.includes(model))
      .map(({ id, models }) => ({ slots: adapterCapacity(shape, models, model), adaptersInUse: this.workTracker.adaptersInUse(id, now) }))
  }

  private shapeOf (service: ServiceName): EngineShape | undefined {
    return this.configuration.current?.services.get(service)?.engine
  }
}
