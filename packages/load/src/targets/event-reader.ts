/** Server-sent events, read with little work, so that the load tool does not become what is measured. */

const DATA = 'data: '

/**
 * Reads events of one `data` line each.
 *
 * @param body - the stream
 * @param onData - gets the data of each event
 */
export async function readEvents (body: AsyncIterable<Buffer>, onData: (data: string) => void): Promise<void> {
  const decoder = new TextDecoder()
  let rest = ''
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true })
    const events = rest.split('\n\n')
    rest = events.pop() ?? ''
    for (const event of events) {
      if (event.startsWith(DATA)) onData(event.slice(DATA.length))
    }
  }
}
