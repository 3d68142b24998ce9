/** All kinds of faults. */
import type { Fault } from '../fault.js'
import { FailLoads, LateAndDuplicatedParts, IgnoreCancel, LeavingEngine, LoseWholeEngineAnswers, LoseEngineAnswers, RefuseRequests, RestartCold, SilentConnections } from './engine-faults.js'
import { CutFromPlatform, KillInstance, PauseInstance, StopInstance } from './instance-faults.js'
import { LoseWriteAnswers, RacingOperators, ServicesFail, StoreOutage, SlowStore } from './environment-faults.js'

/** Every kind of fault that runs can have. */
export const FAULTS: readonly Fault[] = [
  new KillInstance(), new StopInstance(), new PauseInstance(), new CutFromPlatform(),
  new RestartCold(), new FailLoads(), new LoseEngineAnswers(), new LoseWholeEngineAnswers(), new LateAndDuplicatedParts(), new RefuseRequests(),
  new IgnoreCancel(), new SilentConnections(), new LeavingEngine(),
  new StoreOutage(), new SlowStore(), new LoseWriteAnswers(), new ServicesFail(), new RacingOperators()
]
