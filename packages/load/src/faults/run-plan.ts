/** The plan of one fault run, which depends only on its seed and the options of the campaign. */
import type { LoadRequest } from './caller.js'
import type { DeploymentPlan } from './deployment.js'
import type { Fault } from './fault.js'
import { FAULTS } from './kinds/index.js'
import { SeededRandom } from './random.js'
import { ADAPTERS, TEAMS, VERSIONS } from './sample-deployment.js'

/** Duration over which requests and settings changes are spread; faults start in its first half. */
const LOAD_MILLISECONDS = 2_500
const MAXIMUM_FAULTS = 3
const MAXIMUM_SEED = 1_000_000

/** A request and the time when it is sent. */
export interface PlannedRequest {
  /** Milliseconds after the start of the load. */
  readonly after: number
  readonly load: LoadRequest
  /** Milliseconds after the first attempt at which the request is sent again under the same key; undefined for no retry. */
  readonly retryAfter: number | undefined
}

/** A fault and the time when it begins. */
export interface PlannedFault {
  /** Milliseconds after the start of the load. */
  readonly after: number
  readonly fault: Fault
}

/** The deployment of one run, and its requests, faults and settings changes. */
export interface RunPlan {
  readonly seed: number
  readonly deployment: DeploymentPlan
  readonly requests: readonly PlannedRequest[]
  readonly faults: readonly PlannedFault[]
  /** Changes of a team's settings; `after` counts milliseconds from the start of the load. */
  readonly changes: readonly { readonly after: number, readonly team: string }[]
}

/**
 * Plans one run.
 *
 * @param seed - seed of this run
 * @param mutant - name of the mutant that all instances contain, or undefined for none
 * @param kinds - the kinds of faults to choose from
 * @returns the plan
 */
export function planRun (seed: number, mutant: string | undefined, kinds: readonly Fault[] = FAULTS): RunPlan {
  const random = new SeededRandom(seed)
  const faults = planFaults(random, kinds)
  return {
    seed,
    deployment: {
      instances: random.between(2, 3),
      fencing: [random.pick(['refuses', 'ignores']), random.pick(['refuses', 'ignores'])],
      processes: faults.some(({ fault }) => fault.needsProcesses),
      mutant
    },
    requests: Array.from({ length: random.between(24, 48) }, (_, index) => planRequest(random, index)),
    faults,
    changes: Array.from({ length: random.between(1, 3) }, () => ({ after: random.between(0, LOAD_MILLISECONDS), team: random.pick(TEAMS) }))
  }
}

/** Plans one to three faults. A further fault repeats the kind of the first one in at least a fifth of the cases. */
function planFaults (random: SeededRandom, kinds: readonly Fault[]): PlannedFault[] {
  if (kinds.length === 0) return []
  const count = random.between(1, MAXIMUM_FAULTS)
  const first = random.pick(kinds)
  return Array.from({ length: count }, (_, index) => ({
    after: random.between(0, LOAD_MILLISECONDS / 2),
    fault: index === 0 || random.happens(0.2) ? first : random.pick(kinds)
  }))
}

function planRequest (random: SeededRandom, index: number): PlannedRequest {
  const forService = random.happens(0.2)
  const idempotent = random.happens(0.5)
  const key = !idempotent && random.happens(0.6) ? `key-${index}` : undefined
  const load: LoadRequest = {
    request: `request-${index}`,
    key,
    team: random.pick(TEAMS),
    adapter: forService ? undefined : random.pick(ADAPTERS),
    version: forService || random.happens(0.4) ? undefined : random.pick(VERSIONS),
    idempotent,
    prompt: `Prompt ${index} of ${random.between(0, MAXIMUM_SEED)}, ${'word '.repeat(random.between(0, 30))}`,
    maximumTokens: random.happens(0.3) ? random.between(80, 160) : random.between(1, 40),
    seed: random.between(0, MAXIMUM_SEED),
    stream: random.happens(0.6),
    deadlineMilliseconds: 6_000
  }
  const retried = key !== undefined && random.happens(0.5)
  return { after: random.between(0, LOAD_MILLISECONDS), load, retryAfter: retried ? random.between(0, 400) : undefined }
}
