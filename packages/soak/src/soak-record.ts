/** Record of a run: the injected faults, and the requests as callers observed them. Times are Unix milliseconds of this host. */
import type { ResumedStream, SampleAnswer, SampleRequest, SampleRoute } from '@limpetwinch/platform'

/** Time from the acceptance of a configuration until it must be in force, as the settings of the deployment say. */
export const IN_FORCE_MILLISECONDS = 2_000
/** Time from the announcement of a new adapter version until it must be in use, as the settings of the deployment say. */
export const NEW_VERSION_MILLISECONDS = 5_000

/**
 * Kind of the fault that lets open connections to the store fall silent. It excuses nothing: new connections work, and instances must
 * notice by themselves.
 */
export const SILENT_CONNECTIONS = 'silent-connections'

/** Kind of the fault that hands most new connections to one instance. It excuses nothing: its callers are served as before. */
export const FAVOURED_INSTANCE = 'favoured-instance'
/** Kind of the fault in which an endpoint answers with bytes without an end. */
export const UNBOUNDED_ANSWERS = 'answer-without-end'

/** Kind of the fault that makes an engine and a web server slow, which neither of them states. */
export const SLOW_ENDPOINT = 'slow-endpoint'

/** Kind of the fault in which callers send long prompts, which pause the other streams of the engines that read them. */
export const LONG_PROMPTS = 'long-prompts'

/** A route that a configuration has added. */
export interface AddedRoute {
  readonly route: SampleRoute
  /** Time at which the store accepted the configuration. */
  readonly at: number
}

/** A new version of an adapter that was announced. */
export interface AnnouncedVersion {
  readonly adapter: string
  readonly version: number
  /** Time at which the store accepted the announcement. */
  readonly at: number
}

/** The period of a fault. */
export interface FaultSpan {
  readonly kind: string
  /** Instance or endpoint hit by the fault; undefined for the store, for all instances and for crashing requests. */
  readonly target: string | undefined
  readonly from: number
  /** End of the fault; Infinity while the fault lasts. */
  to: number
}

/** A request and its response. */
export interface ObservedRequest {
  readonly instance: string
  readonly request: SampleRequest
  readonly answer: SampleAnswer
  readonly sentAt: number
  readonly endedAt: number
}

/** An endpoint that started to leave. */
export interface ObservedLeaving {
  readonly endpoint: string
  readonly at: number
}

/** A key that was taken away. */
export interface Revocation {
  readonly key: string
  /** Time at which the store accepted the configuration without the key. */
  readonly at: number
}

/** A rate limit that an endpoint named. */
export interface NamedLimit {
  readonly endpoint: string
  readonly requestsPerSecond: number
  /** Time during which the endpoint named the limit. */
  readonly span: FaultSpan
}

/** A path whose requests crash the servers that run them, if the body of the request says so. */
export interface CrashingPath {
  /** Part of the path after the route's prefix. */
  readonly path: string
  /** Time from the start of a run to the crash. */
  readonly crashesAfterMilliseconds: number
}

/** A part of prompts that crashes the model servers that answer on it. */
export interface CrashingPart {
  readonly part: string
  /** Time from the start of an answer to the crash. */
  readonly crashesAfterMilliseconds: number
}

/** An instance that ended unexpectedly, did not end when told to, or did not get ready. */
export interface LostInstance {
  readonly instance: string
  readonly reason: string
  readonly at: number
}

/** Record of one run. */
export class SoakRecord {
  readonly faults: FaultSpan[] = []
  readonly requests: ObservedRequest[] = []
  /** Streams of callers that take them up at other instances; their requests are among the others. */
  readonly streams: ResumedStream[] = []
  readonly leavings: ObservedLeaving[] = []
  readonly crashingPaths: CrashingPath[] = []
  readonly crashingParts: CrashingPart[] = []
  readonly revocations: Revocation[] = []
  readonly rateLimits: NamedLimit[] = []
  readonly addedRoutes: AddedRoute[] = []
  readonly announcedVersions: AnnouncedVersion[] = []
  /** Instances that ended unexpectedly, did not end when told to, or did not get ready. */
  readonly lost: LostInstance[] = []
  /** Requests that were sent after recovery from all faults, with their responses. */
  readonly probes: ObservedRequest[] = []

  /** Records the start of a fault. @returns its period, whose end the caller sets */
  beginFault (kind: string, target?: string): FaultSpan {
    const span: FaultSpan = { kind, target, from: Date.now(), to: Infinity }
    this.faults.push(span)
    return span
  }

  /** Records an instance as lost. */
  addLostInstance (instance: string, reason: string): void {
    this.lost.push({ instance, reason, at: Date.now() })
  }

  /** @returns faults, but those that excuse nothing, that overlap a period extended by a margin on both sides */
  disruptionsDuring (from: number, to: number, marginMilliseconds: number): FaultSpan[] {
    return this.faultsDuring(from, to, marginMilliseconds).filter(({ kind }) => kind !== SILENT_CONNECTIONS && kind !== FAVOURED_INSTANCE)
  }

  /** @returns faults that overlap a period extended by a margin on both sides */
  faultsDuring (from: number, to: number, marginMilliseconds: number): FaultSpan[] {
    return this.faults.filter((fault) => fault.from <= to + marginMilliseconds && fault.to >= from - marginMilliseconds)
  }
}
