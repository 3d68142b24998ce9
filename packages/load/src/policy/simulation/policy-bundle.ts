/** The decision classes that one run uses. */
import type { EvictionPolicy, FairQueue, LoadAhead, LoadOrderingPolicy, OverloadGuard, RoutingPolicy, ServiceAccounting } from '@limpetwinch/decisions'
import type { DeploymentSize } from '../traces/trace.js'
import type { SimulatedRequest } from './simulated-request.js'

/** The decision classes of one policy under test, created anew for each run. */
export interface PolicyBundle {
  readonly routing: RoutingPolicy
  readonly eviction: EvictionPolicy
  readonly loadOrder: LoadOrderingPolicy
  /** @returns a new queue for one engine */
  readonly makeQueue: () => FairQueue<SimulatedRequest>
  /** Suggests adapters to load into free slots before a request waits for them. */
  readonly loadAhead?: LoadAhead
  /** Accounting of served tokens that the queues of all engines use; without it the router assumes a used share of 1 for each team. */
  readonly accounting?: ServiceAccounting
  /** Accounting of loads by team; without it the load order assumes a used share of 1 for each team. */
  readonly loadAccounting?: ServiceAccounting
  /** Refuses requests that would miss their deadline; without it a waiting request is refused at its deadline. */
  readonly overloadGuard?: OverloadGuard<SimulatedRequest>
}

/** A named policy of the experiment. */
export interface PolicyUnderTest {
  readonly name: string
  readonly make: (size: DeploymentSize) => PolicyBundle
}
