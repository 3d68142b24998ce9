// Guards against a stream, or the whole process, that ends because the search for another engine fails while the stream stays on its engine.
import { afterEach, describe, expect, it } from 'vitest'
import { FailoverSearch } from '../src/relay/failover-search.js'

const unhandled: unknown[] = []
const record = (reason: unknown): void => { unhandled.push(reason) }

afterEach(() => { process.off('unhandledRejection', record) })

async function pause (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 10) })
}

describe('a search during an attempt', () => {
  // Guards against an unhandled rejection of one search, which would end the process with all its streams.
  it('that fails can be started again, and its error is reported only at the end of the attempt', async () => {
    process.on('unhandledRejection', record)
    let searches = 0
    const search = new FailoverSearch(async () => {
      searches += 1
      throw new Error('a fault')
    }, () => {})
    search.start()
    await pause()
    search.start()
    await pause()
    const end = await search.end().then(() => 'nothing', (error: unknown) => String(error))
    expect({ unhandled: unhandled.length, searches, end }).toEqual({ unhandled: 0, searches: 2, end: 'Error: a fault' })
  })
})
