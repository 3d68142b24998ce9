/** The policies that the experiment compares. */
import { OverloadGuard, PopularityLoadAhead, ServiceAccounting, StallEvictionPolicy, StallLoadOrderingPolicy, VirtualTimeFairQueue, WeightedRoutingPolicy, reservedPlacesFor } from '@limpetwinch/decisions'
import type { EvictionPolicy } from '@limpetwinch/decisions'
import { BATCH_CAPACITY } from '../simulation/engine-timing.js'
import type { PolicyBundle, PolicyUnderTest } from '../simulation/policy-bundle.js'
import type { SimulatedRequest } from '../simulation/simulated-request.js'
import type { DeploymentSize } from '../traces/trace.js'
import { GlobalProductivityEviction, GreedyDualEviction, LeastFrequentlyUsedEviction, LeastRecentlyUsedEviction, ProductivityEviction } from './baseline-eviction.js'
import { ArrivalLoadOrder } from './baseline-load-order.js'
import { ArrivalOrderQueue } from './baseline-queue.js'
import { LeastLoadedRouting, StickyRouting } from './baseline-routing.js'

/** Number of later loads after which a load counts 1/e as much in the share of its team. */
const LOAD_ACCOUNTING_MEMORY = 200

/** Options in which the variants of the product's policy differ. */
interface ProductOptions {
  readonly batchEfficiencyWeight: number
  readonly eviction?: EvictionPolicy
}

/** @returns the product's decision classes, created as in an entry instance */
function product (size: DeploymentSize, options: ProductOptions): PolicyBundle {
  const accounting = new ServiceAccounting()
  const reservedPlaces = reservedPlacesFor(options.batchEfficiencyWeight, BATCH_CAPACITY)
  return {
    routing: new WeightedRoutingPolicy({ batchEfficiencyWeight: options.batchEfficiencyWeight, loadsPerSecond: size.loadsPerSecond }),
    eviction: options.eviction ?? new StallEvictionPolicy(),
    loadOrder: new StallLoadOrderingPolicy(),
    makeQueue: () => new VirtualTimeFairQueue<SimulatedRequest>({ accounting, reservedPlaces }),
    loadAhead: new PopularityLoadAhead(),
    accounting,
    loadAccounting: new ServiceAccounting({ memoryTokens: LOAD_ACCOUNTING_MEMORY }),
    overloadGuard: new OverloadGuard<SimulatedRequest>()
  }
}

function baseline (routing: PolicyBundle['routing']): PolicyBundle {
  return {
    routing,
    eviction: new LeastRecentlyUsedEviction(),
    loadOrder: new ArrivalLoadOrder(),
    makeQueue: () => new ArrivalOrderQueue<SimulatedRequest>()
  }
}

/** The product's policy with three weights of batch efficiency against load stalls. */
export const PRODUCT_POLICIES: readonly PolicyUnderTest[] = [
  { name: 'limpetwinch', make: (size) => product(size, { batchEfficiencyWeight: 0.5 }) },
  { name: 'limpetwinch, stalls first', make: (size) => product(size, { batchEfficiencyWeight: 0 }) },
  { name: 'limpetwinch, batches first', make: (size) => product(size, { batchEfficiencyWeight: 1 }) }
]

/** Simple policies as baselines. */
export const BASELINE_POLICIES: readonly PolicyUnderTest[] = [
  { name: 'least loaded', make: () => baseline(new LeastLoadedRouting()) },
  { name: 'sticky', make: () => baseline(new StickyRouting()) }
]

/** The product's policy with other eviction policies. */
export const VARIANT_POLICIES: readonly PolicyUnderTest[] = [
  variant('least recently used', () => new LeastRecentlyUsedEviction()),
  variant('least frequently used', () => new LeastFrequentlyUsedEviction()),
  variant('greedy-dual', () => new GreedyDualEviction()),
  variant('productivity, local', () => new ProductivityEviction()),
  variant('productivity, global', () => new GlobalProductivityEviction())
]

/** All policies in the order of the table. */
export const POLICIES_UNDER_TEST: readonly PolicyUnderTest[] = [...PRODUCT_POLICIES, ...BASELINE_POLICIES, ...VARIANT_POLICIES]

function variant (name: string, eviction: () => EvictionPolicy): PolicyUnderTest {
  return { name, make: (size) => product(size, { batchEfficiencyWeight: 0.5, eviction: eviction() }) }
}
