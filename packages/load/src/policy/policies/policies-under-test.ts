/** The policies in the table. */
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

const LOAD_ACCOUNTING_MEMORY = 200

/** What may differ between forms of the product's own policy. */
interface ProductOptions {
  readonly batchEfficiencyWeight: number
  readonly eviction?: EvictionPolicy
}

/** @returns the product's decision classes as the entry instance makes them */
function product (size: DeploymentSize, form: ProductOptions): PolicyBundle {
  const ledger = new ServiceAccounting()
  const reservedPlaces = reservedPlacesFor(form.batchEfficiencyWeight, BATCH_CAPACITY)
  return {
    routing: new WeightedRoutingPolicy({ batchEfficiencyWeight: form.batchEfficiencyWeight, loadsPerSecond: size.loadsPerSecond }),
    eviction: form.eviction ?? new StallEvictionPolicy(),
    loadOrder: new StallLoadOrderingPolicy(),
    makeQueue: () => new VirtualTimeFairQueue<SimulatedRequest>({ accounting: ledger, reservedPlaces }),
    loadAhead: new PopularityLoadAhead(),
    accounting: ledger,
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

/** The product's policy at three weightings. */
export const PRODUCT_POLICIES: readonly PolicyUnderTest[] = [
  { name: 'limpetwinch', make: (size) => product(size, { batchEfficiencyWeight: 0.5 }) },
  { name: 'limpetwinch, stalls first', make: (size) => product(size, { batchEfficiencyWeight: 0 }) },
  { name: 'limpetwinch, batches first', make: (size) => product(size, { batchEfficiencyWeight: 1 }) }
]

/** What one would otherwise take. */
export const BASELINE_POLICIES: readonly PolicyUnderTest[] = [
  { name: 'least loaded', make: () => baseline(new LeastLoadedRouting()) },
  { name: 'sticky', make: () => baseline(new StickyRouting()) }
]

/** The product's policy with another eviction. */
export const VARIANT_POLICIES: readonly PolicyUnderTest[] = [
  variant('least recently used', () => new LeastRecentlyUsedEviction()),
  variant('least frequently used', () => new LeastFrequentlyUsedEviction()),
  variant('greedy-dual', () => new GreedyDualEviction()),
  variant('productivity, local', () => new ProductivityEviction()),
  variant('productivity, global', () => new GlobalProductivityEviction())
]

/** All of them, in the order of the table. */
export const POLICIES_UNDER_TEST: readonly PolicyUnderTest[] = [...PRODUCT_POLICIES, ...BASELINE_POLICIES, ...VARIANT_POLICIES]

function variant (name: string, eviction: () => EvictionPolicy): PolicyUnderTest {
  return { name, make: (size) => product(size, { batchEfficiencyWeight: 0.5, eviction: eviction() }) }
}
