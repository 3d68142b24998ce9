import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventSplitter } from '../src/relay/event-splitter.js'

describe('an event splitter', () => {
  it('returns each event complete and in order, however the stream is split into chunks', () => {
    const lineEnd = fc.constantFrom('\n', '\r\n')
    const event = fc.record({ id: fc.nat(), text: fc.stringMatching(/^[a-z ]{0,20}$/), end: lineEnd })
    fc.assert(fc.property(fc.array(event, { maxLength: 12 }), fc.infiniteStream(fc.integer({ min: 1, max: 9 })), (events, lengths) => {
      const texts = events.map(({ id, text, end }) => `id: ${id}${end}data: ${text}${end}${end}`)
      const bytes = Buffer.from(texts.join(''))
      const splitter = new EventSplitter()
      const read: { id: string | undefined, text: string }[] = []
      for (let at = 0; at < bytes.length;) {
        const length = lengths.next().value as number
        read.push(...splitter.append(bytes.subarray(at, at + length)).map(({ id, bytes: event }) => ({ id, text: event.toString() })))
        at += length
      }
      expect(read).toEqual(events.map(({ id }, index) => ({ id: String(id), text: texts[index] })))
      expect(splitter.isBetweenEvents).toBe(true)
    }), { seed: 11, numRuns: 300 })
  })

  it('buffers an event until its end arrives', () => {
    const splitter = new EventSplitter()
    expect(splitter.append(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n')).map(({ id }) => id)).toEqual(['1'])
    expect(splitter.isBetweenEvents).toBe(false)
  })

  it('reports a stream whose event is larger than allowed', () => {
    const splitter = new EventSplitter()
    splitter.append(Buffer.alloc(1_100_000, 'x'))
    expect(splitter.exceedsEventLimit).toBe(true)
  })

  // Guards against blocks of lines that are no events and that reach a caller as the beginning of an answer.
  it('returns no comments, blank lines, reconnection times or lone ids, but comments within an event', () => {
    const splitter = new EventSplitter()
    const events = splitter.append(Buffer.from(': one\n\n\n\nretry: 5\n\nid: 7\n\n: within\ndata\n\n'))
    expect([events.map(({ bytes }) => bytes.toString()), splitter.pendingBytes]).toEqual([[': within\ndata\n\n'], 0])
  })

  it('keeps the events that it returned unchanged while it reads on', () => {
    const splitter = new EventSplitter()
    splitter.append(Buffer.from('data: a'))
    const [first] = splitter.append(Buffer.from('b\n\ndata: c'))
    splitter.append(Buffer.from('d\n\n'))
    expect(first?.bytes.toString()).toBe('data: ab\n\n')
  })
})
