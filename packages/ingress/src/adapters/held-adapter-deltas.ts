/**
 * Deltas between two successive notices about the adapters that an engine holds.
 *
 * Each load changes the adapters held, waiting or being loaded about four times, and every change is sent to all peers. A full
 * notice repeats about seventeen adapters and the load queue to announce one new adapter. When all notices were sent in full, they
 * were most of the bytes between data centres and most of the frames that an instance decodes.
 */
import type { AdaptersChangedFrame, AdaptersHeldFrame, EndpointId, InstanceId } from '@limpetwinch/core'

/** @returns the delta from one notice to the next */
export function deltaBetween (before: AdaptersHeldFrame, after: AdaptersHeldFrame): AdaptersChangedFrame {
  const { endpoint, born, token, sequence, inFlight, waits } = after
  const held = new Map(before.held)
  const heldAfter = new Set(after.held.map(([key]) => key))
  return {
    kind: 'adapters-changed',
    endpoint,
    born,
    token,
    sequence,
    inFlight,
    added: after.held.filter(([key, version]) => held.get(key) !== version),
    removed: before.held.filter(([key]) => !heldAfter.has(key)).map(([key]) => key),
    waitingAdded: missing(before.waiting ?? [], after.waiting ?? []),
    waitingRemoved: missing(after.waiting ?? [], before.waiting ?? []),
    waitMilliseconds: after.waitMilliseconds ?? 0,
    ...(waits === undefined ? {} : { waits })
  }
}

/** @returns the full notice that results from applying a delta to the notice before it */
export function applyDelta (before: AdaptersHeldFrame, delta: AdaptersChangedFrame): AdaptersHeldFrame {
  const { endpoint, born, token, sequence, inFlight, waitMilliseconds, waits } = delta
  const held = new Map(before.held)
  for (const key of delta.removed) held.delete(key)
  for (const [key, version] of delta.added) held.set(key, version)
  const noLongerWaiting = new Set(delta.waitingRemoved)
  const waiting = [...(before.waiting ?? []).filter((key) => !noLongerWaiting.has(key)), ...delta.waitingAdded]
  return { kind: 'adapters-held', endpoint, born, token, sequence, inFlight, waitMilliseconds, held: [...held], waiting, ...(waits === undefined ? {} : { waits }) }
}

/** Keeps the last full notice about each engine, which the sender's next delta is applied to. */
export class HeldAdapterBaselines {
  private readonly last = new Map<EndpointId, { readonly from: InstanceId, readonly frame: AdaptersHeldFrame }>()

  /** Stores a full notice as the baseline of the deltas that follow. */
  setFull (from: InstanceId, frame: AdaptersHeldFrame): void {
    this.last.set(frame.endpoint, { from, frame })
  }

  /**
   * Applies a delta to the baseline.
   *
   * @returns the resulting full notice; undefined when the notice before the delta was not received: later deltas are then ignored
   *   until the next full notice
   */
  apply (from: InstanceId, delta: AdaptersChangedFrame): AdaptersHeldFrame | undefined {
    const known = this.last.get(delta.endpoint)
    if (known === undefined || known.from !== from) return undefined
    const { frame } = known
    if (frame.born !== delta.born || frame.token !== delta.token || frame.sequence !== delta.sequence - 1) return undefined
    const next = applyDelta(frame, delta)
    this.setFull(from, next)
    return next
  }

  /** Drops the baseline of an engine that has left. */
  forget (endpoint: EndpointId): void {
    this.last.delete(endpoint)
  }

  /** @returns the last full notices about all engines, with their senders */
  all (): readonly (readonly [from: InstanceId, frame: AdaptersHeldFrame])[] {
    return [...this.last.values()].map(({ from, frame }) => [from, frame])
  }
}

function missing (from: readonly string[], all: readonly string[]): string[] {
  const known = new Set(from)
  return all.filter((key) => !known.has(key))
}
