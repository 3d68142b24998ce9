/** A relay that only forwards bytes, which shows the cost of relaying on this machine without any work of limpetwinch. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, request } from 'undici'

/** Path at which the relay reports its own processor time. */
export const USAGE_PATH = '/usage'

/** Forwards each request to one engine and each chunk of the response back. */
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

  /** @returns the URL at which the relay listens */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes the server and all connections. */
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
    const response = await request(this.engine + (incoming.url ?? ''), {
      method: 'POST',
      dispatcher: this.agent,
      headers: { 'content-type': 'application/json' },
      body: Buffer.concat(chunks)
    })
    outgoing.writeHead(response.statusCode, { 'content-type': 'text/event-stream' })
    for await (const chunk of response.body) outgoing.write(chunk)
    outgoing.end()
  }
}
