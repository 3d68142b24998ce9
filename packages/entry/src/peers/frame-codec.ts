/** Frames to bytes and back: a length of four bytes, then a cbor array of the kind's number and its fields. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { FrameKind, PeerFrame } from '@limpetwinch/core'
import { Encoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { FRAME_FIELDS, FRAME_KINDS, FRAME_SCHEMAS } from './frame-schemas.js'

/** Largest body of a frame, bytes: above the platform's largest value, a megabyte, with room for its wrapping. */
export const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024

const LENGTH_BYTES = 4

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** A frame with its size on the wire. */
export interface DecodedFrame {
  readonly frame: PeerFrame
  readonly bytes: number
}

/**
 * Encodes a frame. Fields go by place and not by name, which keeps a heartbeat at a third of its size.
 *
 * @param frame - the frame
 * @returns its bytes with the length in front, or `bad-frame` when it is too large
 */
export function encodeFrame (frame: PeerFrame): Result<Buffer, LimpetwinchError> {
  const fields = frame as unknown as Record<string, unknown>
  const body = codec.encode([FRAME_KINDS.indexOf(frame.kind), ...FRAME_FIELDS[frame.kind].map((field) => fields[field])])
  if (body.length > MAXIMUM_FRAME_BYTES) return err(badFrame(`${frame.kind} of ${body.length} bytes is too large`))
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  bytes.writeUInt32BE(body.length, 0)
  body.copy(bytes, LENGTH_BYTES)
  return ok(bytes)
}

/** Cuts a stream of bytes into checked frames. */
export class FrameReader {
  private waiting: Buffer = Buffer.alloc(0)
  private chunks: Buffer[] = []
  private buffered = 0
  private needed = LENGTH_BYTES

  /**
   * Takes bytes as they come.
   *
   * @param chunk - the next bytes of the stream
   * @returns the frames that are whole now, or `bad-frame`; after that the stream cannot be read on
   */
  read (chunk: Buffer): Result<readonly DecodedFrame[], LimpetwinchError> {
    this.chunks.push(chunk)
    this.buffered += chunk.length
    // A large frame comes in many chunks; joining them at each one would copy it over and over.
    if (this.buffered < this.needed) return ok([])
    this.waiting = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks)
    const frames: DecodedFrame[] = []
    for (;;) {
      const next = this.next()
      if (next.isErr()) return err(next.error)
      if (next.value === undefined) break
      frames.push(next.value)
    }
    this.chunks = [this.waiting]
    this.buffered = this.waiting.length
    return ok(frames)
  }

  private next (): Result<DecodedFrame | undefined, LimpetwinchError> {
    this.needed = LENGTH_BYTES
    if (this.waiting.length < LENGTH_BYTES) return ok(undefined)
    const length = this.waiting.readUInt32BE(0)
    // Refused before it is buffered: a wrong length would otherwise hold memory until the connection ends.
    if (length > MAXIMUM_FRAME_BYTES) return err(badFrame(`a length of ${length} bytes`))
    this.needed = LENGTH_BYTES + length
    if (this.waiting.length < this.needed) return ok(undefined)
    const bytes = this.needed
    const body = this.waiting.subarray(LENGTH_BYTES, bytes)
    this.waiting = this.waiting.subarray(bytes)
    this.needed = LENGTH_BYTES
    return decodeBody(body).map((frame) => ({ frame, bytes }))
  }
}

/**
 * Decodes one frame that came within another one.
 *
 * @param bytes - as {@link encodeFrame} made them
 * @returns the checked frame, or `bad-frame`
 */
export function decodeFrame (bytes: Uint8Array): Result<PeerFrame, LimpetwinchError> {
  if (bytes.length <= LENGTH_BYTES) return err(badFrame(`${bytes.length} bytes are no frame`))
  return decodeBody(Buffer.from(bytes.buffer, bytes.byteOffset + LENGTH_BYTES, bytes.length - LENGTH_BYTES))
}

/**
 * @param body - a frame's bytes without the length
 * @returns the checked frame, or `bad-frame`
 */
function decodeBody (body: Buffer): Result<PeerFrame, LimpetwinchError> {
  let decoded: unknown
  try {
    decoded = codec.decode(body)
  } catch (cause) {
    return err(badFrame('not cbor', cause))
  }
  if (!Array.isArray(decoded)) return err(badFrame('not an array'))
  const [code, ...values] = decoded as unknown[]
  const kind = typeof code === 'number' ? FRAME_KINDS[code] : undefined
  if (kind === undefined) return err(badFrame(`the unknown kind ${String(code).slice(0, 20)}`))
  return checkFrame(kind, values)
}

/** Fields beyond the known ones come from a newer release and are passed over. */
function checkFrame (kind: FrameKind, values: readonly unknown[]): Result<PeerFrame, LimpetwinchError> {
  const body = Object.fromEntries(FRAME_FIELDS[kind].map((field, place) => [field, values[place]]))
  const checked = FRAME_SCHEMAS[kind].safeParse(body)
  if (!checked.success) return err(badFrame(`${kind}: ${checked.error.issues[0]?.path.join('.')} ${checked.error.issues[0]?.message}`))
  return ok({ kind, ...checked.data } as unknown as PeerFrame)
}

function badFrame (reason: string, cause?: unknown): LimpetwinchError {
  return new LimpetwinchError('bad-frame', { reason }, { cause })
}
