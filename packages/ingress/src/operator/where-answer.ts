/** What an instance answers to the question where a request would go now. Times are milliseconds. */

/** A request that is described but not sent. */
export interface DescribedRequest {
  readonly service: string | undefined
  readonly host: string | undefined
  readonly path: string | undefined
  readonly model: string | undefined
  readonly adapter: string | undefined
  /** Parts of the prompt, in order. */
  readonly promptParts: readonly { readonly id: string, readonly tokens: number }[]
  readonly promptTokens: number
  readonly outputTokens: number
  readonly team: string | undefined
  /** Priority of the request; that of its team or route by default. */
  readonly priority: number | undefined
  /** Most candidates that are listed. */
  readonly candidates: number
}

/** What would become of the request. */
export type WhereOutcome =
  /** It would be sent at once. */
  | { readonly kind: 'sent', readonly endpoint: string }
  /** It would cause, or join, the load of its adapter on this engine. */
  | { readonly kind: 'load', readonly endpoint: string, readonly waitMilliseconds: number, readonly longestWaitMilliseconds: number }
  /** It would wait for a place in the rate limits of the endpoints. */
  | { readonly kind: 'wait', readonly waitMilliseconds: number }
  /** It would be refused. `afterMilliseconds` is how long it would have waited by then. */
  | { readonly kind: 'refused', readonly error: string, readonly status: number, readonly message: string, readonly afterMilliseconds: number, readonly retryAfterSeconds: number | undefined }

/** One endpoint that the request could go to. */
export interface WhereCandidate {
  readonly endpoint: string
  readonly dataCentre: string
  /** Whether the request would run there, or its adapter be loaded there first. */
  readonly use: 'run' | 'load'
  /** What is compared between the candidates of one use; the smallest one is chosen. */
  readonly cost: number
  /** What the cost consists of or rests on. */
  readonly items: Readonly<Record<string, number>>
  /** Age of what the items rest on, by item; without an entry, the item is this instance's own present knowledge. */
  readonly ages: Readonly<Record<string, number>>
}

/** The answer of one instance. */
export interface WhereAnswer {
  readonly instance: string
  readonly route: string | undefined
  readonly service: string | undefined
  readonly priority: number | undefined
  readonly configuration: number
  readonly outcome: WhereOutcome
  /** Cheapest first, those that can run the request before those that would load its adapter. */
  readonly candidates: readonly WhereCandidate[]
  /** Endpoints of the service that get no such request now, by the reason. */
  readonly unused: Readonly<Record<string, readonly string[]>>
  /** What further parts of the instance say of the request. */
  readonly sections: Readonly<Record<string, Readonly<Record<string, unknown>>>>
}
