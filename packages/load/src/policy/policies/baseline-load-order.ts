/** Load order of first come, first served, for comparison with the product's order. */
import { LoadOrderingPolicy } from '@limpetwinch/decisions'
import type { LoadCandidate } from '@limpetwinch/decisions'

/** Begins the load whose first request has waited longest. */
export class ArrivalLoadOrder extends LoadOrderingPolicy {
  urgency (load: LoadCandidate, now: number): number {
    return now - load.waitingSince
  }
}
