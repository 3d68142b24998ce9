/** Routing policies for comparison: one that ignores adapters, and one that considers only the adapter. */
import type { EndpointId } from '@limpetwinch/core'
import { RoutingPolicy, rendezvousWeight } from '@limpetwinch/decisions'
import type { EndpointView, RoutingRequest } from '@limpetwinch/decisions'

/** Chooses the endpoint with the fewest requests. */
export class LeastLoadedRouting extends RoutingPolicy {
  choose (_question: RoutingRequest, endpoints: readonly EndpointView[]): EndpointId | undefined {
    let best: EndpointView | undefined
    for (const view of endpoints) {
      if (best === undefined || loadOf(view) < loadOf(best)) best = view
    }
    return best?.endpoint
  }

  observe (): void {}
}

/** Chooses an endpoint from the adapter by rendezvous hashing, regardless of queue lengths. */
export class StickyRouting extends RoutingPolicy {
  choose (question: RoutingRequest, endpoints: readonly EndpointView[]): EndpointId | undefined {
    const key = question.adapter ?? question.team
    let best: EndpointView | undefined
    let bestWeight = -1
    for (const view of endpoints) {
      const weight = rendezvousWeight(key, view.endpoint)
      if (weight <= bestWeight) continue
      best = view
      bestWeight = weight
    }
    return best?.endpoint
  }

  observe (): void {}
}

function loadOf (view: EndpointView): number {
  return view.queued + view.running + view.sentSinceReport
}
