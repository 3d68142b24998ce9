// Guards against an instance that crashes, waits for ever or runs out of memory because of bytes from outside, which would
// end every request on it. A peer of another release, or a program that is no peer, sends bytes that are truncated, too
// long, of wrong types or no CBOR at all. The reader must return complete frames unchanged and refuse the rest with an error.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { PeerFrame } from '@limpetwinch/core'
import { encodeFrame, FrameReader, MAXIMUM_FRAME_BYTES } from '../../src/peers/frame-codec.js'

const RUNS = { seed: 61_205, numRuns: 300 }

const text = fc.string({ minLength: 1, maxLength: 30 })
const outcome = fc.constantFrom('answered', 'not-run', 'failed', 'withdrawn')
const frame = fc.oneof(
  fc.record({ kind: fc.constant('admission-done'), requestId: text, endpoint: text, outputTokens: fc.nat(), outcome }),
  fc.record({ kind: fc.constant('team-service'), tokens: fc.array(fc.record({ team: text, tokens: fc.nat() }), { maxLength: 4 }) }),
  fc.record({ kind: fc.constant('accepted'), call: fc.nat() })
).map((value) => value as unknown as PeerFrame)

function bytesOf (frames: readonly PeerFrame[]): Buffer {
  return Buffer.concat(frames.map((one) => encodeFrame(one)._unsafeUnwrap()))
}

function readAll (bytes: Buffer, cuts: readonly number[]): { frames: PeerFrame[], refused: string | undefined } {
  const reader = new FrameReader()
  const at = [...new Set([0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length])].sort((left, right) => left - right)
  const frames: PeerFrame[] = []
  for (const [index, from] of at.entries()) {
    const read = reader.read(bytes.subarray(from, at[index + 1] ?? bytes.length))
    if (read.isErr()) return { frames, refused: read.error.kind }
    frames.push(...read.value.map((decoded) => decoded.frame))
  }
  return { frames, refused: undefined }
}

describe('peer frames from outside', () => {
  it('are decoded completely, wherever the bytes are split', () => {
    fc.assert(fc.property(fc.array(frame, { maxLength: 5 }), fc.array(fc.nat(), { maxLength: 8 }), (frames, cuts) => {
      expect(readAll(bytesOf(frames), cuts)).toEqual({ frames, refused: undefined })
    }), RUNS)
  })

  it('are decoded up to the point where a stream is truncated', () => {
    fc.assert(fc.property(fc.array(frame, { minLength: 1, maxLength: 5 }), fc.nat(), (frames, at) => {
      const bytes = bytesOf(frames)
      const read = readAll(bytes.subarray(0, at % bytes.length), [])
      expect(read.refused).toBeUndefined()
      expect(read.frames).toEqual(frames.slice(0, read.frames.length))
      expect(read.frames.length).toBeLessThan(frames.length)
    }), RUNS)
  })

  it('are refused or decoded as a valid frame when a byte is changed, without an exception', () => {
    fc.assert(fc.property(fc.array(frame, { minLength: 1, maxLength: 3 }), fc.nat(), fc.nat(255), (frames, at, byte) => {
      const bytes = bytesOf(frames)
      bytes[at % bytes.length] = byte
      expect(['bad-frame', undefined]).toContain(readAll(bytes, []).refused)
    }), RUNS)
  })

  it('are refused without an exception when the body is random bytes', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), (body) => {
      const framed = Buffer.alloc(4 + body.length)
      framed.writeUInt32BE(body.length, 0)
      framed.set(body, 4)
      expect(readAll(framed, []).refused).toBe('bad-frame')
    }), RUNS)
  })

  it.each([
    ['a length beyond the maximum', [0xff, 0xff, 0xff, 0xff]],
    ['a length just beyond the maximum', [...lengthBytes(MAXIMUM_FRAME_BYTES + 1)]],
    ['an array that announces more elements than it has', [...lengthBytes(5), 0x9a, 0x01, 0xff, 0xff, 0xff]],
    ['a text that announces more bytes than it has', [...lengthBytes(5), 0x7a, 0x7f, 0xff, 0xff, 0xff]],
    ['deeply nested arrays', [...lengthBytes(100_000), ...new Array<number>(100_000).fill(0x81)]]
  ])('are refused at once: %s', (_name, bytes) => {
    expect(readAll(Buffer.from(bytes), []).refused).toBe('bad-frame')
  })
})

function lengthBytes (length: number): Buffer {
  const bytes = Buffer.alloc(4)
  bytes.writeUInt32BE(length, 0)
  return bytes
}
