// A stream stays on its engine while another one is looked for. Whatever becomes of the search, the stream and the process go on.
import { afterEach, describe, expect, it } from 'vitest'
import { FailoverSearch } from '../src/relay/failover-search.js'

const unheard: unknown[] = []
const note = (reason: unknown): void => { unheard.push(reason) }

afterEach(() => { process.off('unhandledRejection', note) })

async function turn (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 10) })
}

describe('a search beside a stream', () => {
  // Guards against the end of the whole process, with all its streams, by a fault in one search.
  it('that fails is begun again, and is told at the end of the try only', async () => {
    process.on('unhandledRejection', note)
    let searches = 0
    const search = new FailoverSearch(async () => {
      searches += 1
      throw new Error('a fault')
    }, () => {})
    search.start()
    await turn()
    search.start()
    await turn()
    const end = await search.end().then(() => 'nothing', (error: unknown) => String(error))
    expect({ unheard: unheard.length, searches, end }).toEqual({ unheard: 0, searches: 2, end: 'Error: a fault' })
  })
})
