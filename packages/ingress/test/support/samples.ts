/** Builders of small configurations and endpoints for tests. */
import type { EndpointId, InstanceId } from '@limpetwinch/core'
import type { AdapterKey, Endpoint, EngineShape, ModelName, ResponseFacts, Route, Service, ServiceName, SoftwareVersion } from '@limpetwinch/ingress'

interface RouteSample extends Partial<Omit<Route, 'targets'>> {
  readonly targets?: readonly { readonly service: string, readonly weight: number }[]
}

/** @returns a route; members that the test does not set have default values */
export function route ({ targets = [{ service: 'guide', weight: 1 }], ...sample }: RouteSample = {}): Route {
  return {
    name: 'r',
    host: 'listings.example',
    pathPrefix: '/',
    kind: 'safe',
    timeoutMilliseconds: 2_000,
    objectiveMilliseconds: 300,
    gapMilliseconds: 400,
    priority: 0,
    mostAttempts: 2,
    resumable: false,
    public: false,
    ...sample,
    targets: targets.map(({ service, weight }) => ({ service: service as ServiceName, weight }))
  }
}

/** @returns an engine with two adapter slots */
export function engineShape (sample: Partial<EngineShape> = {}): EngineShape {
  return {
    batchSlots: 16,
    memoryTokens: 200_000,
    megabytes: 16_500,
    adapterSlots: 2,
    modelLoadsPerSecond: 4,
    models: [{ name: 'base' as ModelName, megabytes: 16_000, adapters: 100, adapterMegabytes: 14 }],
    ...sample
  }
}

/** @returns a service; one of model engines if an engine shape is given */
export function service (name: string, engine?: EngineShape): Service {
  return { name: name as ServiceName, connectionLimit: 100, engine }
}

/** Software version of the sample endpoints. */
export const SOFTWARE_VERSION = 'v1' as SoftwareVersion

/** @returns an endpoint that is ready */
export function endpoint (id: string, sample: Partial<Omit<Endpoint, 'id' | 'service' | 'models'>> & { readonly service?: string, readonly models?: readonly string[] } = {}): Endpoint {
  const { service: name = 'guide', models = ['base'], ...rest } = sample
  return {
    id: id as EndpointId,
    revision: 1,
    service: name as ServiceName,
    address: '127.0.0.1:1',
    dataCentre: 'here',
    softwareVersion: SOFTWARE_VERSION,
    born: 100,
    statement: 1,
    slots: 6,
    leaving: false,
    leavesInMilliseconds: undefined,
    models: models.map((model) => model as ModelName),
    adapters: [],
    ...rest
  }
}

/** @returns the key of an adapter of the model `base` */
export function key (adapter: string): AdapterKey {
  return `base/${adapter}` as AdapterKey
}

/** @returns the facts of a signed response that states no limit */
export function responseFacts (sample: Partial<ResponseFacts> = {}): ResponseFacts {
  return { requestId: undefined, signed: true, notRun: false, encoded: false, rateLimit: undefined, refusalLimit: undefined, isFull: false, backoffMilliseconds: undefined, isLeaving: false, answeredBy: undefined, ...sample }
}

/** The backoffs of an instance that no endpoint has asked to back off. */
export const NO_BACKOFFS = { penalty: () => 0, backingOff: () => new Set<EndpointId>() }

/** Process id of the load owner, which sends the notices about what an engine holds. */
export const LOAD_OWNER = 'speaker' as InstanceId
