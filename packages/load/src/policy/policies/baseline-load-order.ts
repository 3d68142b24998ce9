/** First come, first served loads. */
import { LoadOrder } from '@limpetwinch/decisions'
import type { WantedLoad } from '@limpetwinch/decisions'

/** The load whose first request waits longest. */
export class ArrivalLoadOrder extends LoadOrder {
  urgency (load: WantedLoad, now: number): number {
    return now - load.waitingSince
  }
}
