/** Deliveries that serve a request by another adapter than it was addressed to. */
import { formatAdapter } from '@limpetwinch/core'
import type { AdapterReference, OperatorSettings } from '@limpetwinch/core'
import { Delivery } from '@limpetwinch/entry'
import type { DeliveryEvent, DeliveryOptions, DeliveryRequest } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

type DeliveryClass = new (options: DeliveryOptions) => Delivery

/** Parts with another delivery. */
export class MutantDeliveryComponents extends FaultRunComponents {
  private readonly DeliveryClass: DeliveryClass

  /** @param deliveryClass - the class of the delivery */
  constructor (deliveryClass: DeliveryClass) {
    super()
    this.DeliveryClass = deliveryClass
  }

  override delivery (options: DeliveryOptions): Delivery {
    return new this.DeliveryClass(options)
  }
}

/** Finds an adapter by its name alone, among those of another team. */
export class ForeignAdapterDelivery extends Delivery {
  override async * deliver (request: DeliveryRequest, settings: OperatorSettings, signal: AbortSignal): AsyncGenerator<DeliveryEvent> {
    const { adapter, team } = request.adapter
    const others = [...settings.teams].filter(([name, other]) => name !== team && Object.hasOwn(other.adapters, adapter))
    const foreign = others[0]?.[0]
    yield * super.deliver(foreign === undefined ? request : redirected(request, { ...request.adapter, team: foreign }), settings, signal)
  }
}

/** Serves the last version on the list, whichever was named. */
export class LastVersionDelivery extends Delivery {
  override async * deliver (request: DeliveryRequest, settings: OperatorSettings, signal: AbortSignal): AsyncGenerator<DeliveryEvent> {
    const versions = settings.teams.get(request.adapter.team)?.adapters[request.adapter.adapter]?.versions ?? []
    const version = (versions.at(-1) ?? request.adapter.version) as AdapterReference['version']
    yield * super.deliver(redirected(request, { ...request.adapter, version }), settings, signal)
  }
}

/** Tells the caller nothing when its request fails. */
export class SilentFailureDelivery extends Delivery {
  override async * deliver (request: DeliveryRequest, settings: OperatorSettings, signal: AbortSignal): AsyncGenerator<DeliveryEvent> {
    for await (const event of super.deliver(request, settings, signal)) {
      if (event.kind === 'error') await new Promise(() => {})
      yield event
    }
  }
}

function redirected (request: DeliveryRequest, adapter: AdapterReference): DeliveryRequest {
  return { ...request, adapter, adapterName: formatAdapter(adapter) }
}
