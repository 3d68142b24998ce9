/** Deliveries that serve a request with an adapter or version it did not ask for, or withhold its failure. */
import { formatAdapter } from '@limpetwinch/core'
import type { AdapterReference, OperatorSettings } from '@limpetwinch/core'
import { Delivery } from '@limpetwinch/entry'
import type { DeliveryEvent, DeliveryOptions, DeliveryRequest } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

type DeliveryClass = new (options: DeliveryOptions) => Delivery

/** Components that build the given class of delivery. */
export class MutantDeliveryComponents extends FaultRunComponents {
  private readonly DeliveryClass: DeliveryClass

  /** @param deliveryClass - the class of the delivery to build */
  constructor (deliveryClass: DeliveryClass) {
    super()
    this.DeliveryClass = deliveryClass
  }

  override delivery (options: DeliveryOptions): Delivery {
    return new this.DeliveryClass(options)
  }
}

/** Serves a request with an adapter of the same name that belongs to another team. */
export class ForeignAdapterDelivery extends Delivery {
  override async * deliver (request: DeliveryRequest, settings: OperatorSettings, signal: AbortSignal): AsyncGenerator<DeliveryEvent> {
    const { adapter, team } = request.adapter
    const others = [...settings.teams].filter(([name, other]) => name !== team && Object.hasOwn(other.adapters, adapter))
    const foreignTeam = others[0]?.[0]
    yield * super.deliver(foreignTeam === undefined ? request : redirected(request, { ...request.adapter, team: foreignTeam }), settings, signal)
  }
}

/** Serves a request with the last listed version of its adapter, whichever version the request names. */
export class LastVersionDelivery extends Delivery {
  override async * deliver (request: DeliveryRequest, settings: OperatorSettings, signal: AbortSignal): AsyncGenerator<DeliveryEvent> {
    const versions = settings.teams.get(request.adapter.team)?.adapters[request.adapter.adapter]?.versions ?? []
    const version = (versions.at(-1) ?? request.adapter.version) as AdapterReference['version']
    yield * super.deliver(redirected(request, { ...request.adapter, version }), settings, signal)
  }
}

/** Leaves the caller waiting without a response when its request fails. */
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
