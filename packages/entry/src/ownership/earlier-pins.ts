/** Earlier pins: requests that earlier owners of an endpoint admitted and that may still run on the endpoint. */
import type { EngineReport, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'

/** A request that an earlier owner admitted to the endpoint. */
export interface EarlierPin {
  readonly requestId: RequestId
  /** The member that runs the request; undefined for a request known only from the engine's report. */
  readonly instance: InstanceId | undefined
  readonly loadedName: LoadedName | undefined
  readonly team: string | undefined
}

/** The earlier pins of one endpoint. */
export class EarlierPins {
  private readonly pins = new Map<RequestId, EarlierPin>()
  private readonly ended = new Set<RequestId>()

  /** Adds pins that a member or the earlier owner reported. */
  add (pins: readonly EarlierPin[]): void {
    for (const pin of pins) {
      // A member's message that a request ended may overtake the list of pins that still names that request.
      if (!this.ended.has(pin.requestId)) this.pins.set(pin.requestId, pin)
    }
  }

  /** Removes a pin after the member that ran the request announced that the request has ended. */
  end (requestId: RequestId): void {
    this.pins.delete(requestId)
    this.ended.add(requestId)
  }

  /**
   * Applies an engine's report that was certainly made after all grants of earlier owners.
   *
   * @param report - the requests that the engine runs
   * @param hasGranted - whether the current owner granted a request
   * @param isLiving - whether a member still runs, so that this member will announce the end of its request itself
   */
  applyReport (report: EngineReport, hasGranted: (requestId: RequestId) => boolean, isLiving: (instance: InstanceId) => boolean): void {
    const running = new Set(report.running.map((request) => request.requestId))
    for (const pin of this.pins.values()) {
      const hasLivingMember = pin.instance !== undefined && isLiving(pin.instance)
      // A request in the engine's queue is not listed as running, so only a report with an empty queue proves the end.
      if (!hasLivingMember && report.queued === 0 && !running.has(pin.requestId)) this.pins.delete(pin.requestId)
    }
    for (const request of report.running) {
      if (this.pins.has(request.requestId) || this.ended.has(request.requestId) || hasGranted(request.requestId)) continue
      this.pins.set(request.requestId, { requestId: request.requestId, instance: undefined, loadedName: request.adapter, team: undefined })
    }
  }

  /**
   * Removes the pins that belong to no living member. Called by the recovery of the endpoint, once the longest request time has passed
   * since every member had answered the recovery's request for pins or had left.
   */
  removeOrphans (isLiving: (instance: InstanceId) => boolean): void {
    for (const pin of this.pins.values()) {
      if (pin.instance === undefined || !isLiving(pin.instance)) this.pins.delete(pin.requestId)
    }
  }

  /** @returns whether a pin is left that belongs to no living member */
  hasOrphans (isLiving: (instance: InstanceId) => boolean): boolean {
    return [...this.pins.values()].some((pin) => pin.instance === undefined || !isLiving(pin.instance))
  }

  /** @returns the remaining pins */
  all (): readonly EarlierPin[] {
    return [...this.pins.values()]
  }
}
