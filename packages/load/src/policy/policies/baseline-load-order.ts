/** First come, first served loads. */
import { LoadOrderingPolicy } from '@limpetwinch/decisions'
import type { LoadCandidate } from '@limpetwinch/decisions'

/** The load whose first request waits longest. */
export class ArrivalLoadOrder extends LoadOrderingPolicy {
  urgency (load: LoadCandidate, now: number): number {
    return now - load.waitingSince
  }
}
