/** Creates the explainer of one instance from the components that the relays use. */
import type { ListenerComponents } from '../relay/create-listener.js'
import type { EngineRouter } from '../routing/engine-router.js'
import type { EngineFigures } from '../engine-figures/engine-figures.js'
import { ServiceRouter } from '../routing/service-router.js'
import { RequestExplainer } from './request-explainer.js'
import type { WhereSection } from './where-section.js'

/** The components that the explainer reads, besides those of the listener. */
export interface RequestExplainerComponents extends ListenerComponents {
  /** Name of the instance. */
  readonly instance: string
  readonly router: EngineRouter
  readonly figures: EngineFigures
  /** @returns current duration of an adapter load from the weight store, milliseconds */
  readonly loadMilliseconds: () => number
  readonly sections?: readonly WhereSection[]
}

/** @returns the explainer */
export function createRequestExplainer (components: RequestExplainerComponents): RequestExplainer {
  const { directory, workTracker, ejection, errors, rateLimiter, settings } = components
  return new RequestExplainer({ ...components, serviceRouter: new ServiceRouter(directory, workTracker, ejection, errors, rateLimiter.backoffs, settings.dataCentre) })
}
