/** The list of all kinds of faults that a fault run can inject. */
import type { Fault } from '../fault.js'
import { FailLoads, LateAndDuplicatedParts, IgnoreCancel, LeavingEngine, LoseWholeEngineAnswers, LoseEngineAnswers, RefuseRequests, RestartCold, SilentConnections } from './engine-faults.js'
import { CutFromPlatform, KillInstance, PauseInstance, StopInstance } from './instance-faults.js'
import { LoseWriteAnswers, RacingOperators, ServicesFail, StoreOutage, SlowStore } from './environment-faults.js'

/** One object for each kind of fault; a run plan chooses among these. */
export const FAULTS: readonly Fault[] = [
  new KillInstance(), new StopInstance(), new PauseInstance(), new CutFromPlatform(),
  new RestartCold(), new FailLoads(), new LoseEngineAnswers(), new LoseWholeEngineAnswers(), new LateAndDuplicatedParts(), new RefuseRequests(),
  new IgnoreCancel(), new SilentConnections(), new LeavingEngine(),
  new StoreOutage(), new SlowStore(), new LoseWriteAnswers(), new ServicesFail(), new RacingOperators()
]
