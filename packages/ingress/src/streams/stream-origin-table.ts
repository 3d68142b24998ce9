/** Remembers where streams began, in bounded memory. */
import { createHash } from 'node:crypto'
import type { Branded, TeamId } from '@limpetwinch/core'
import type { ServiceName, SoftwareVersion } from '../routes/configuration.js'
import { STREAM_LIFETIME_MILLISECONDS } from './software-versions.js'

/** Identifies a stream by the request that brought its first event. */
export type StreamKey = Branded<string, 'StreamKey'>

/** The endpoints at which a stream may go on. */
export interface StreamOrigin {
  readonly service: ServiceName
  readonly softwareVersion: SoftwareVersion
}

/** Largest number of streams; beyond it, those that began earliest are forgotten. */
const MAXIMUM_STREAMS = 50_000
/** Length of a key, in characters of 6 bits: too many for two streams to have the same key. */
const KEY_CHARACTERS = 16

/**
 * @param requestId - id of the request; callers choose it, and it may have any length
 * @param team - team of the caller, which learns nothing of the streams of other teams
 * @returns the key of the stream
 */
export function streamKey (requestId: string, team: TeamId | undefined): StreamKey {
  return createHash('sha256').update(`${team ?? ''}\n${requestId}`).digest('base64url').slice(0, KEY_CHARACTERS) as StreamKey
}

/** Where streams began, by their keys. */
export class StreamOriginTable {
  private readonly origins = new Map<StreamKey, { readonly origin: StreamOrigin, readonly at: number }>()

  /** Number of streams. */
  get size (): number {
    return this.origins.size
  }

  /** Remembers a stream. @param now - monotonic time */
  add (stream: StreamKey, origin: StreamOrigin, now: number): void {
    // A key that is set again moves to the end, so that the map stays in the order of the times.
    this.origins.delete(stream)
    this.origins.set(stream, { origin, at: now })
    const [earliest] = this.origins.keys()
    if (this.origins.size > MAXIMUM_STREAMS && earliest !== undefined) this.origins.delete(earliest)
  }

  /** @returns where the stream began; undefined when it is not remembered */
  find (stream: StreamKey): StreamOrigin | undefined {
    return this.origins.get(stream)?.origin
  }

  /** Forgets a stream. */
  delete (stream: StreamKey): void {
    this.origins.delete(stream)
  }

  /** @returns all streams of a service */
  ofService (service: ServiceName): readonly (readonly [StreamKey, StreamOrigin])[] {
    return [...this.origins].flatMap(([stream, { origin }]) => origin.service === service ? [[stream, origin] as const] : [])
  }

  /** Forgets streams that are not resumed any more; called periodically. @param now - monotonic time */
  expire (now: number): void {
    for (const [stream, { at }] of this.origins) {
      if (now - at <= STREAM_LIFETIME_MILLISECONDS) return
      this.origins.delete(stream)
    }
  }
}
