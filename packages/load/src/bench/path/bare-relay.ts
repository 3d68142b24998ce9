/** A relay that only passes bytes on: what relaying costs on this machine before limpetwinch does anything of its own. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, request } from 'undici'

/** Path under which the relay tells its own usage. */
export const USAGE_PATH = '/usage'

/** Passes each request on to one engine, and each chunk of the answer back. */
export class BareRelay {
  private readonly engine: string
  private readonly agent = new Agent({ connections: 4096, pipelining: 1 })
  private readonly server: Server

  /** @param engine - URL of the engine */
  constructor (engine: string) {
    this.engine = engine
    this.server = createServer((incoming, outgoing) => {
      void this.forward(incoming, outgoing).catch(() => { outgoing.destroy() })
    })
  }

  /** @returns the URL */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Ends all connections. */
  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise((resolve) => { this.server.close(resolve) })
    await this.agent.destroy()
  }

  private async forward (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.url === USAGE_PATH) {
      const { user, system } = process.cpuUsage()
      outgoing.end(JSON.stringify({ processorMicroseconds: user + system }))
      return
    }
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    const answer = await request(this.engine + (incoming.url ?? ''), {
      method: 'POST',
      dispatcher: this.agent,
      headers: { 'content-type': 'application/json' },
      body: Buffer.concat(chunks)
    })
    outgoing.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' })
    for await (const chunk of answer.body) outgoing.write(chunk)
    outgoing.end()
  }
}
