/** Explains where a described request would go now, and why. Nothing is sent or counted, and no state changes. */
import type { EndpointId } from '@limpetwinch/core'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import { EnginePlacement } from './engine-placement.js'
import type { PlacementSources } from './placement.js'
import { subjectOf } from './request-subject.js'
import { ServicePlacement } from './service-placement.js'
import type { DescribedRequest, WhereAnswer } from './where-answer.js'
import type { WhereSection } from './where-section.js'

/** What the explainer reads. */
export interface RequestExplainerSources extends PlacementSources {
  /** Name of the instance. */
  readonly instance: string
  readonly configuration: Pick<AcceptedConfiguration, 'current' | 'version'>
  /** Parts of the answer that other rooms supply. */
  readonly sections?: readonly WhereSection[]
}

/** Explains requests for operators. */
export class RequestExplainer {
  private readonly sources: RequestExplainerSources
  private readonly engines: EnginePlacement
  private readonly services: ServicePlacement

  constructor (sources: RequestExplainerSources) {
    this.sources = sources
    this.engines = new EnginePlacement(sources)
    this.services = new ServicePlacement(sources)
  }

  /** @returns where the request would go now */
  explain (request: DescribedRequest): WhereAnswer {
    const { clock, configuration, instance } = this.sources
    const found = subjectOf(request, configuration.current)
    const common = { instance, configuration: configuration.version }
    if (found.isErr()) {
      const { code, status, message, retryAfterSeconds } = found.error
      const outcome = { kind: 'refused', error: code, status, message, afterMilliseconds: 0, retryAfterSeconds } as const
      return { ...common, route: undefined, service: request.service, priority: request.priority, outcome, candidates: [], unused: {}, sections: {} }
    }
    const subject = found.value
    const { route, service, priority } = subject
    const now = clock.now()
    const placement = service.engine === undefined ? this.services : this.engines
    const { outcome, candidates } = placement.place(subject, request.candidates, now)
    const described = { ...subject, endpoints: candidates.map(({ endpoint }) => endpoint as EndpointId) }
    const sections = (this.sources.sections ?? []).flatMap((section) => {
      const fields = section.describe(described, now)
      return fields === undefined ? [] : [[section.name, fields] as const]
    })
    return { ...common, route: route.name, service: service.name, priority, outcome, candidates, unused: placement.unused(subject, now), sections: Object.fromEntries(sections) }
  }
}
