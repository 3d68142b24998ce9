/** Minimal reader of server-sent events, so that the processor time of the load tool does not limit the measurement. */

const DATA = 'data: '

/**
 * Reads events that consist of one `data` line each.
 *
 * @param body - the response body
 * @param onData - called with the data of each event
 */
export async function readEvents (body: AsyncIterable<Buffer>, onData: (data: string) => void): Promise<void> {
  const decoder = new TextDecoder()
  let incomplete = ''
  for await (const chunk of body) {
    incomplete += decoder.decode(chunk, { stream: true })
    const events = incomplete.split('\n\n')
    incomplete = events.pop() ?? ''
    for (const event of events) {
      if (event.startsWith(DATA)) onData(event.slice(DATA.length))
    }
  }
}
