// Endpoints write their own entries in the store. Entries may arrive late, lapse during an outage of the store, or be written again
// under the same id after a restart. Guards against a wrong state of the directory: a response would be truncated by an endpoint that
// is leaving, or a request refused although endpoints are available. Each test is one sequence of events.
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId } from '@limpetwinch/core'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import type { ServiceName } from '@limpetwinch/ingress'
import { endpoint } from './support/samples.js'

const GUIDE = 'guide' as ServiceName

function directoryWith (...listings: readonly { readonly revision: number, readonly endpoints: ReturnType<typeof endpoint>[], readonly outageEndedAt?: number, readonly now?: number }[]): EndpointDirectory {
  const directory = new EndpointDirectory(silentLogger())
  for (const { revision, endpoints, outageEndedAt, now = 0 } of listings) directory.apply({ revision, endpoints }, outageEndedAt, now)
  return directory
}

function servable (directory: EndpointDirectory): string[] {
  return directory.servable(GUIDE).map(({ id }) => id)
}

describe('an endpoint directory', () => {
  it('offers no leaving endpoint although an older statement of it arrives afterwards', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { statement: 4 })] },
      { revision: 2, endpoints: [endpoint('a', { statement: 5, leaving: true })] },
      { revision: 3, endpoints: [endpoint('a', { statement: 4 })] }
    )
    expect(servable(directory)).toEqual([])
  })

  it('offers no leaving endpoint when a later statement of the same incarnation says that it is ready', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { statement: 5, leaving: true })] },
      { revision: 2, endpoints: [endpoint('a', { statement: 6 })] }
    )
    expect(servable(directory)).toEqual([])
  })

  it('offers an endpoint that restarted under its id, whose statement numbers start again', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { statement: 90, leaving: true })] },
      { revision: 2, endpoints: [endpoint('a', { statement: 1, born: 200 })] }
    )
    expect(servable(directory)).toEqual(['a'])
  })

  it('ignores a statement of an earlier incarnation', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { born: 200, address: '127.0.0.1:2' })] },
      { revision: 2, endpoints: [endpoint('a', { born: 100, statement: 99, address: '127.0.0.1:1' })] }
    )
    expect(directory.find('a' as EndpointId)?.address).toBe('127.0.0.1:2')
  })

  it('ignores a listing older than the latest', () => {
    const directory = directoryWith({ revision: 7, endpoints: [] }, { revision: 6, endpoints: [endpoint('a')] })
    expect(servable(directory)).toEqual([])
  })

  it('removes an endpoint at once when its entry is removed while the store is available', () => {
    const directory = directoryWith({ revision: 1, endpoints: [endpoint('a'), endpoint('b')] }, { revision: 2, endpoints: [endpoint('b')] })
    expect(servable(directory)).toEqual(['b'])
  })

  it('keeps endpoints whose entries lapsed in an outage for two seconds after its end, then removes them', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a'), endpoint('b')] },
      { revision: 2, endpoints: [], outageEndedAt: 10_000, now: 10_100 },
      { revision: 3, endpoints: [endpoint('b', { statement: 2 })], outageEndedAt: 10_000, now: 11_000 }
    )
    directory.expire(11_900)
    const before = servable(directory)
    directory.expire(12_000)
    expect({ before, after: servable(directory) }).toEqual({ before: ['a', 'b'], after: ['b'] })
  })

  it('notifies listeners once of each change', () => {
    const directory = new EndpointDirectory(silentLogger())
    const changes: string[] = []
    directory.onChange(({ id }, change) => changes.push(`${id} ${change}`))
    for (const [revision, endpoints] of [
      [1, [endpoint('a')]], [2, [endpoint('a', { statement: 2 })]], [3, [endpoint('a', { statement: 3, leaving: true })]], [4, []], [5, [endpoint('a', { born: 300 })]], [6, [endpoint('a', { born: 400 })]]
    ] as const) directory.apply({ revision, endpoints: [...endpoints] }, undefined, 0)
    expect(changes).toEqual(['a arrived', 'a leaving', 'a gone', 'a arrived', 'a restarted'])
  })
})
