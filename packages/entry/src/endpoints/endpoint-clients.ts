/** Keeps the clients with which an instance calls endpoints, one client for each URL. Each client keeps its connections open for reuse. */
import { HttpServiceClient } from '@limpetwinch/core'
import type { EndpointId, EngineClient, EngineSettings, HttpEngineClient, ServiceClient } from '@limpetwinch/core'

/** Creates each client on first use and reuses it afterwards. */
export class EndpointClients {
  private readonly engines = new Map<string, HttpEngineClient>()
  private readonly services = new Map<string, HttpServiceClient>()
  private readonly createEngineClient: (engine: EngineSettings) => HttpEngineClient

  /** @param createEngineClient - creates the client of an engine */
  constructor (createEngineClient: (engine: EngineSettings) => HttpEngineClient) {
    this.createEngineClient = createEngineClient
  }

  /** @returns the client of an engine */
  engine (engine: EngineSettings): EngineClient {
    return getOrCreate(this.engines, engine.url, () => this.createEngineClient(engine))
  }

  /** @returns the client of an endpoint of a plain service */
  service (endpoint: EndpointId, url: string): ServiceClient {
    return getOrCreate(this.services, url, () => new HttpServiceClient(endpoint, url))
  }

  /** Closes the connections of all clients. */
  async close (): Promise<void> {
    const clients = [...this.engines.values(), ...this.services.values()]
    await Promise.allSettled(clients.map(async (client) => await client.close()))
  }
}

function getOrCreate<Client> (clients: Map<string, Client>, url: string, create: () => Client): Client {
  const known = clients.get(url)
  if (known !== undefined) return known
  const client = create()
  clients.set(url, client)
  return client
}
