/** The clients of endpoints, one for each URL, with the connections that they keep. */
import { HttpServiceClient } from '@limpetwinch/core'
import type { EndpointId, EngineClient, EngineSettings, HttpEngineClient, ServiceClient } from '@limpetwinch/core'

/** Makes each client once. */
export class EndpointClients {
  private readonly engines = new Map<string, HttpEngineClient>()
  private readonly services = new Map<string, HttpServiceClient>()
  private readonly makeEngineClient: (engine: EngineSettings) => HttpEngineClient

  /** @param makeEngineClient - makes the client of an engine */
  constructor (makeEngineClient: (engine: EngineSettings) => HttpEngineClient) {
    this.makeEngineClient = makeEngineClient
  }

  /** @returns the client of an engine */
  engine (engine: EngineSettings): EngineClient {
    return present(this.engines, engine.url, () => this.makeEngineClient(engine))
  }

  /** @returns the client of a plain service's endpoint */
  service (endpoint: EndpointId, url: string): ServiceClient {
    return present(this.services, url, () => new HttpServiceClient(endpoint, url))
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    const clients = [...this.engines.values(), ...this.services.values()]
    await Promise.allSettled(clients.map(async (client) => await client.close()))
  }
}

function present<Client> (clients: Map<string, Client>, url: string, make: () => Client): Client {
  const known = clients.get(url)
  if (known !== undefined) return known
  const client = make()
  clients.set(url, client)
  return client
}
