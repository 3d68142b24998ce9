/** List of all faults of the soak. */
import { StallStoreLink, KillAllInstances, KillInstance, PauseInstance, ReloadInstance, ResetStoreLink, SilenceStoreConnections, StopInstance } from './instance-faults.js'
import { AnnounceVersion, ChangeConfiguration, CrashEngine, FavourInstance, LeavingEngine, StoreDown, CompactStore, StoreLosesResponses, StoreSlow } from './environment-faults.js'
import { LongPrompts, SlowEndpoint } from './load-faults.js'
import { NameRateLimit } from './rate-limit-faults.js'
import { CrashingPromptPart, CrashingRequest } from './request-faults.js'
import { RequestBackoff, RefuseRequests, SayLeaving } from './statement-faults.js'
import { FloodQuota, RevokeKey } from './team-faults.js'
import { ReturnWithAnotherVersion, RollEngines } from './version-faults.js'
import { AnswerWithoutEnd } from './unbounded-faults.js'
import type { SoakFault } from './soak-fault.js'

/** One fault of each kind. Append only: which faults a seed selects depends on the order of this list. */
export const SOAK_FAULTS: readonly SoakFault[] = [
  new KillInstance(), new KillAllInstances(), new StopInstance(), new PauseInstance(), new ReloadInstance(), new StallStoreLink(), new ResetStoreLink(),
  new StoreDown(), new StoreSlow(), new StoreLosesResponses(), new CompactStore(), new CrashEngine(), new LeavingEngine(), new ChangeConfiguration(),
  new CrashingRequest(), new RevokeKey(), new FloodQuota(), new NameRateLimit(), new SilenceStoreConnections(), new AnnounceVersion(),
  new RollEngines(), new ReturnWithAnotherVersion(), new CrashingPromptPart(), new FavourInstance(),
  new RefuseRequests(), new RequestBackoff(), new SayLeaving(),
  new SlowEndpoint(), new LongPrompts(), new AnswerWithoutEnd()
]
