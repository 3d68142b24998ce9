// The store's entries are written by the endpoints themselves and may arrive late, lapse while the store is away, or come
// back under the same id after a restart. A request sent by a wrong belief is cut off at an endpoint that leaves, or
// refused while endpoints are free. Each test is one order of events.
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
  it('gives a leaving endpoint no work though an older statement of it arrives afterwards', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { statement: 4 })] },
      { revision: 2, endpoints: [endpoint('a', { statement: 5, leaving: true })] },
      { revision: 3, endpoints: [endpoint('a', { statement: 4 })] }
    )
    expect(servable(directory)).toEqual([])
  })

  it('keeps a leaving endpoint out also when it later calls itself ready in the same life', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { statement: 5, leaving: true })] },
      { revision: 2, endpoints: [endpoint('a', { statement: 6 })] }
    )
    expect(servable(directory)).toEqual([])
  })

  it('takes an endpoint that started again under its id, whose statements count anew', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { statement: 90, leaving: true })] },
      { revision: 2, endpoints: [endpoint('a', { statement: 1, born: 200 })] }
    )
    expect(servable(directory)).toEqual(['a'])
  })

  it('ignores a statement of an earlier life', () => {
    const directory = directoryWith(
      { revision: 1, endpoints: [endpoint('a', { born: 200, address: '127.0.0.1:2' })] },
      { revision: 2, endpoints: [endpoint('a', { born: 100, statement: 99, address: '127.0.0.1:1' })] }
    )
    expect(directory.find('a' as EndpointId)?.address).toBe('127.0.0.1:2')
  })

  it('never goes back to an older listing', () => {
    const directory = directoryWith({ revision: 7, endpoints: [] }, { revision: 6, endpoints: [endpoint('a')] })
    expect(servable(directory)).toEqual([])
  })

  it('drops an endpoint at once that is removed while the store is up', () => {
    const directory = directoryWith({ revision: 1, endpoints: [endpoint('a'), endpoint('b')] }, { revision: 2, endpoints: [endpoint('b')] })
    expect(servable(directory)).toEqual(['b'])
  })

  it('keeps what lapsed in an outage for two seconds after its end, and then calls it gone', () => {
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

  it('tells listeners of each change once', () => {
    const directory = new EndpointDirectory(silentLogger())
    const heard: string[] = []
    directory.onChange(({ id }, change) => heard.push(`${id} ${change}`))
    for (const [revision, endpoints] of [
      [1, [endpoint('a')]], [2, [endpoint('a', { statement: 2 })]], [3, [endpoint('a', { statement: 3, leaving: true })]], [4, []], [5, [endpoint('a', { born: 300 })]], [6, [endpoint('a', { born: 400 })]]
    ] as const) directory.apply({ revision, endpoints: [...endpoints] }, undefined, 0)
    expect(heard).toEqual(['a arrived', 'a leaving', 'a gone', 'a arrived', 'a restarted'])
  })
})
