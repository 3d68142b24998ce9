/** Everything that decides in one run. */
import type { EvictionPolicy, FairQueue, LoadAhead, LoadOrderingPolicy, OverloadGuard, RoutingPolicy, ServiceAccounting } from '@limpetwinch/decisions'
import type { DeploymentSize } from '../traces/trace.js'
import type { SimulatedRequest } from './simulated-request.js'

/** The decision classes of one policy under test, fresh for each run. */
export interface PolicyBundle {
  readonly routing: RoutingPolicy
  readonly eviction: EvictionPolicy
  readonly loadOrder: LoadOrderingPolicy
  /** @returns the queue of one engine */
  readonly makeQueue: () => FairQueue<SimulatedRequest>
  /** Loads into free slots what nobody waits for yet. */
  readonly loadAhead?: LoadAhead
  /** Accounts of tokens that the queues share; without it the router knows no shares. */
  readonly accounting?: ServiceAccounting
  /** Accounts of loads; without it a load's order knows no shares. */
  readonly loadAccounting?: ServiceAccounting
  /** Refuses early; without it a request is given up at its deadline. */
  readonly overloadGuard?: OverloadGuard<SimulatedRequest>
}

/** A policy under test. */
export interface PolicyUnderTest {
  readonly name: string
  readonly make: (size: DeploymentSize) => PolicyBundle
}
