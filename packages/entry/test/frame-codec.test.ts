import type { PeerFrame } from '@limpetwinch/core'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { encodeFrame, FrameReader, MAXIMUM_FRAME_BYTES } from '../src/peers/frame-codec.js'

const heartbeat = fc.record({
  kind: fc.constant('heartbeat' as const),
  sequence: fc.nat(),
  echo: fc.nat(),
  leaving: fc.boolean(),
  settingsHash: fc.string({ maxLength: 64 }),
  ownershipVersion: fc.nat(),
  storeReachable: fc.boolean()
})
const ownership = fc.record({ kind: fc.constant('ownership' as const), version: fc.nat(), value: fc.array(fc.string()) })

describe('frames', () => {
  it('are decoded as they were encoded, however the stream is split into chunks', () => {
    const chunkLengths = fc.infiniteStream(fc.integer({ min: 1, max: 40 }))
    fc.assert(fc.property(fc.array(fc.oneof(heartbeat, ownership), { maxLength: 20 }), chunkLengths, (frames, lengths) => {
      const bytes = Buffer.concat(frames.map((frame) => encodeFrame(frame as PeerFrame)._unsafeUnwrap()))
      const reader = new FrameReader()
      const read: PeerFrame[] = []
      for (let at = 0; at < bytes.length;) {
        const length = lengths.next().value as number
        read.push(...reader.read(bytes.subarray(at, at + length))._unsafeUnwrap().map(({ frame }) => frame))
        at += length
      }
      expect(read).toEqual(frames)
    }), { seed: 5, numRuns: 200 })
  })

  it('that announce more than the maximum length are refused before anything is buffered', () => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(MAXIMUM_FRAME_BYTES + 1)
    expect(new FrameReader().read(length)._unsafeUnwrapErr().kind).toBe('bad-frame')
  })

  it('that are random bytes are refused without an exception', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 60 }), (noise) => {
      const length = Buffer.alloc(4)
      length.writeUInt32BE(noise.length)
      const result = new FrameReader().read(Buffer.concat([length, noise]))
      if (result.isErr()) expect(result.error.kind).toBe('bad-frame')
    }), { seed: 5, numRuns: 2_000 })
  })

  it('keep a heartbeat small, for the budget of control traffic', () => {
    const frame = {
      kind: 'heartbeat',
      sequence: 1_000_000,
      echo: 1_000_000,
      leaving: false,
      settingsHash: '0123456789abcdef',
      ownershipVersion: 100_000,
      storeReachable: true
    } as const
    expect(encodeFrame(frame)._unsafeUnwrap().length).toBeLessThanOrEqual(42)
  })
})
