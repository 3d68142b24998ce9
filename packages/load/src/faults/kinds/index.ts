/** All kinds of faults. */
import type { Fault } from '../fault.js'
import { FailLoads, GarbleOrder, IgnoreCancel, LeavingEngine, LoseAllAnswers, LoseAnswers, RefuseRequests, RestartCold, SilentConnections } from './engine-faults.js'
import { CutFromPlatform, KillInstance, PauseInstance, StopInstance } from './instance-faults.js'
import { LoseWriteAnswers, RacingOperators, ServicesFail, StoreOut, StoreSlow } from './outside-faults.js'

/** Every kind of fault that runs can have. */
export const FAULTS: readonly Fault[] = [
  new KillInstance(), new StopInstance(), new PauseInstance(), new CutFromPlatform(),
  new RestartCold(), new FailLoads(), new LoseAnswers(), new LoseAllAnswers(), new GarbleOrder(), new RefuseRequests(),
  new IgnoreCancel(), new SilentConnections(), new LeavingEngine(),
  new StoreOut(), new StoreSlow(), new LoseWriteAnswers(), new ServicesFail(), new RacingOperators()
]
