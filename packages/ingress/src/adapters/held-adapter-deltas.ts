/**
 * What has changed between two words on what an engine holds.
 *
 * Each load changes what is held, waiting or on its way some four times, and each time all peers hear of it. Told in full,
 * seventeen adapters and a line for one that came, these words were most of the bytes between data centres and of the frames
 * that an instance decodes.
 */
import type { AdaptersChangedFrame, AdaptersHeldFrame, EndpointId, InstanceId } from '@limpetwinch/core'

/** @returns the change from one word to the next */
export function deltaBetween (before: AdaptersHeldFrame, after: AdaptersHeldFrame): AdaptersChangedFrame {
  const { endpoint, born, token, sequence, inFlight } = after
  const held = new Map(before.held)
  const still = new Set(after.held.map(([key]) => key))
  return {
    kind: 'adapters-changed',
    endpoint,
    born,
    token,
    sequence,
    inFlight,
    added: after.held.filter(([key, version]) => held.get(key) !== version),
    removed: before.held.filter(([key]) => !still.has(key)).map(([key]) => key),
    waitingAdded: missing(before.waiting ?? [], after.waiting ?? []),
    waitingRemoved: missing(after.waiting ?? [], before.waiting ?? []),
    waitMilliseconds: after.waitMilliseconds ?? 0
  }
}

/** @returns the word that the change leads to */
export function applyDelta (before: AdaptersHeldFrame, change: AdaptersChangedFrame): AdaptersHeldFrame {
  const { endpoint, born, token, sequence, inFlight, waitMilliseconds } = change
  const held = new Map(before.held)
  for (const key of change.removed) held.delete(key)
  for (const [key, version] of change.added) held.set(key, version)
  const gone = new Set(change.waitingRemoved)
  const waiting = [...(before.waiting ?? []).filter((key) => !gone.has(key)), ...change.waitingAdded]
  return { kind: 'adapters-held', endpoint, born, token, sequence, inFlight, waitMilliseconds, held: [...held], waiting }
}

/** The last words of peers, which their changes go on from. */
export class HeldAdapterBaselines {
  private readonly last = new Map<EndpointId, { readonly from: InstanceId, readonly frame: AdaptersHeldFrame }>()

  /** Keeps a whole word. */
  setFull (from: InstanceId, frame: AdaptersHeldFrame): void {
    this.last.set(frame.endpoint, { from, frame })
  }

  /** @returns the word that a change leads to; undefined when the word before it was not heard, until the next whole one */
  apply (from: InstanceId, change: AdaptersChangedFrame): AdaptersHeldFrame | undefined {
    const known = this.last.get(change.endpoint)
    if (known === undefined || known.from !== from) return undefined
    const { frame } = known
    if (frame.born !== change.born || frame.token !== change.token || frame.sequence !== change.sequence - 1) return undefined
    const next = applyDelta(frame, change)
    this.setFull(from, next)
    return next
  }

  /** The engine is gone. */
  forget (endpoint: EndpointId): void {
    this.last.delete(endpoint)
  }

  /** @returns the last words of all peers, with those who said them */
  all (): readonly (readonly [from: InstanceId, frame: AdaptersHeldFrame])[] {
    return [...this.last.values()].map(({ from, frame }) => [from, frame])
  }
}

function missing (from: readonly string[], all: readonly string[]): string[] {
  const known = new Set(from)
  return all.filter((key) => !known.has(key))
}
