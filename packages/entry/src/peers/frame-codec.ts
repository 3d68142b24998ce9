/**
 * Encodes and decodes frames, the messages between instances. A frame starts with the length of its body, in four bytes.
 * The body is a CBOR array: the number of the frame's kind, then the fields.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { FrameKind, PeerFrame } from '@limpetwinch/core'
import { Encoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { FRAME_FIELDS, FRAME_KINDS, FRAME_SCHEMAS } from './frame-schemas.js'

/**
 * Maximum size of a frame's body, in bytes. A value in the platform's store has at most one megabyte; four megabytes hold such a value
 * with ample room for the other fields of the frame.
 */
export const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024

/** Size of the length in front of each body. */
const LENGTH_BYTES = 4

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** A frame with its size on the wire in bytes. */
export interface DecodedFrame {
  readonly frame: PeerFrame
  readonly bytes: number
}

/**
 * Encodes a frame. Fields are identified by position and not by name, which reduces a heartbeat to a third of its size.
 *
 * @param frame - the frame to encode
 * @returns the length and the body of the frame, or `bad-frame` when the frame is too large
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

/** Splits a stream of bytes into validated frames. */
export class FrameReader {
  private unread: Buffer = Buffer.alloc(0)
  private chunks: Buffer[] = []
  private buffered = 0
  /** Number of buffered bytes at which the next length or the next whole frame can be read. */
  private needed = LENGTH_BYTES

  /**
   * Reads the next bytes of the stream.
   *
   * @param chunk - the next bytes of the stream, of any length
   * @returns the frames that are complete now, or `bad-frame`, after which the rest of the stream cannot be read
   */
  read (chunk: Buffer): Result<readonly DecodedFrame[], LimpetwinchError> {
    this.chunks.push(chunk)
    this.buffered += chunk.length
    // A large frame arrives in many chunks; joining them after each chunk would copy its bytes again and again.
    if (this.buffered < this.needed) return ok([])
    this.unread = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks)
    const frames: DecodedFrame[] = []
    for (;;) {
      const next = this.next()
      if (next.isErr()) return err(next.error)
      if (next.value === undefined) break
      frames.push(next.value)
    }
    this.chunks = [this.unread]
    this.buffered = this.unread.length
    return ok(frames)
  }

  private next (): Result<DecodedFrame | undefined, LimpetwinchError> {
    this.needed = LENGTH_BYTES
    if (this.unread.length < LENGTH_BYTES) return ok(undefined)
    const length = this.unread.readUInt32BE(0)
    // Refused before the body is buffered: otherwise a wrong length would occupy memory until the connection ends.
    if (length > MAXIMUM_FRAME_BYTES) return err(badFrame(`a length of ${length} bytes`))
    this.needed = LENGTH_BYTES + length
    if (this.unread.length < this.needed) return ok(undefined)
    const bytes = this.needed
    const body = this.unread.subarray(LENGTH_BYTES, bytes)
    this.unread = this.unread.subarray(bytes)
    this.needed = LENGTH_BYTES
    return decodeBody(body).map((frame) => ({ frame, bytes }))
  }
}

/**
 * Decodes one frame that was sent inside another frame.
 *
 * @param bytes - the frame as encoded by {@link encodeFrame}
 * @returns the validated frame, or `bad-frame`
 */
export function decodeFrame (bytes: Uint8Array): Result<PeerFrame, LimpetwinchError> {
  if (bytes.length <= LENGTH_BYTES) return err(badFrame(`${bytes.length} bytes are no frame`))
  return decodeBody(Buffer.from(bytes.buffer, bytes.byteOffset + LENGTH_BYTES, bytes.length - LENGTH_BYTES))
}

/**
 * @param body - the bytes of a frame without the length
 * @returns the validated frame, or `bad-frame`
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

/** Validates the fields of a frame. Fields beyond the known ones come from a newer release and are ignored. */
function checkFrame (kind: FrameKind, values: readonly unknown[]): Result<PeerFrame, LimpetwinchError> {
  const body = Object.fromEntries(FRAME_FIELDS[kind].map((field, position) => [field, values[position]]))
  const checked = FRAME_SCHEMAS[kind].safeParse(body)
  if (!checked.success) return err(badFrame(`${kind}: ${checked.error.issues[0]?.path.join('.')} ${checked.error.issues[0]?.message}`))
  return ok({ kind, ...checked.data } as unknown as PeerFrame)
}

function badFrame (reason: string, cause?: unknown): LimpetwinchError {
  return new LimpetwinchError('bad-frame', { reason }, { cause })
}
