/** The clients of endpoints, one for each URL, with the connections that they keep. */
import { HttpServiceClient } from '@limpetwinch/core'
import type { EndpointId, EngineClient, EngineSettings, HttpEngineClient, ServiceClient } from '@limpetwinch/core'

/** Makes each client once. */
export class EndpointClients {
  private readonly engines = new Map<string, HttpEngineClient>()
  private readonly services = new Map<string, HttpServiceClient>()
  private readonly createEngineClient: (engine: EngineSettings) => HttpEngineClient

  /** @param createEngineClient - makes the client of an engine */
  constructor (createEngineClient: (engine: EngineSettings) => HttpEngineClient) {
    this.createEngineClient = createEngineClient
  }

  /** @returns the client of an engine */
  engine (engine: EngineSettings): EngineClient {
    return present(this.engines, engine.url, () => this.createEngineClient(engine))
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
