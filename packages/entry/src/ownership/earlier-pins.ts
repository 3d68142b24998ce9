/** What may still run on an endpoint from the time of its earlier owners. */
import type { EngineReport, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'

/** A request granted by an earlier owner. */
export interface EarlierPin {
  readonly requestId: RequestId
  /** The member that runs it; undefined for one that only the engine has told of. */
  readonly instance: InstanceId | undefined
  readonly loadedName: LoadedName | undefined
  readonly team: string | undefined
}

/** The book of earlier pins of one endpoint. */
export class EarlierPins {
  private readonly pins = new Map<RequestId, EarlierPin>()
  private readonly ended = new Set<RequestId>()

  /** Takes up pins that a member or the earlier owner reported. */
  add (pins: readonly EarlierPin[]): void {
    for (const pin of pins) {
      // A member's word that a request ended may overtake the report that still names it.
      if (!this.ended.has(pin.requestId)) this.pins.set(pin.requestId, pin)
    }
  }

  /** Ends a pin by its member's word. */
  end (requestId: RequestId): void {
    this.pins.delete(requestId)
    this.ended.add(requestId)
  }

  /**
   * Takes up an engine's report that is certainly younger than all earlier grants.
   *
   * @param report - what the engine runs
   * @param known - whether a request was granted by the present owner
   * @param living - whether a member still runs and will say itself when its request ends
   */
  applyReport (report: EngineReport, known: (requestId: RequestId) => boolean, living: (instance: InstanceId) => boolean): void {
    const running = new Set(report.running.map((request) => request.requestId))
    for (const pin of this.pins.values()) {
      const owned = pin.instance !== undefined && living(pin.instance)
      // A request that waits in the engine's queue is not among the running ones.
      if (!owned && report.queued === 0 && !running.has(pin.requestId)) this.pins.delete(pin.requestId)
    }
    for (const request of report.running) {
      if (this.pins.has(request.requestId) || this.ended.has(request.requestId) || known(request.requestId)) continue
      this.pins.set(request.requestId, { requestId: request.requestId, instance: undefined, loadedName: request.adapter, team: undefined })
    }
  }

  /** Ends what no living member answers for, once the longest request time has passed. */
  removeOrphans (living: (instance: InstanceId) => boolean): void {
    for (const pin of this.pins.values()) {
      if (pin.instance === undefined || !living(pin.instance)) this.pins.delete(pin.requestId)
    }
  }

  /** @returns whether a pin is left that no living member answers for */
  hasOrphans (living: (instance: InstanceId) => boolean): boolean {
    return [...this.pins.values()].some((pin) => pin.instance === undefined || !living(pin.instance))
  }

  /** @returns the pins left */
  all (): readonly EarlierPin[] {
    return [...this.pins.values()]
  }
}
