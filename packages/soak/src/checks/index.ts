/** List of all checks of the soak. */
import { FavouredInstanceCheck, LongPromptCheck, SlowEndpointCheck, ResponseDeadlineCheck, UnexpectedEndCheck, PlannedStopCheck, RecoveryCheck, CompleteStreamCheck } from './response-checks.js'
import { CrashBudgetCheck, FalseQuarantineCheck, PartBudgetCheck } from './crash-checks.js'
import { AtMostOnceCheck, LeavingEndpointCheck, NotRunClaimCheck, RateLimitCheck, SingleLoadOwnerCheck, RightAdapterCheck, SlotCapacityCheck } from './endpoint-checks.js'
import { QuotaCheck, RevokedKeyCheck, TeamOfRunCheck } from './team-checks.js'
import { AddedRouteCheck, NewVersionCheck } from './state-checks.js'
import { BackoffCheck, RetryBoundCheck, SaidLeavingCheck } from './statement-checks.js'
import { ResumptionCheck, SoftwareVersionCheck } from './stream-checks.js'
import { UnboundedAnswersCheck } from './unbounded-checks.js'
import type { SoakCheck } from './soak-check.js'

/** One check for each guarantee. */
export const SOAK_CHECKS: readonly SoakCheck[] = [
  new CompleteStreamCheck(), new ResponseDeadlineCheck(), new PlannedStopCheck(), new RecoveryCheck(), new UnexpectedEndCheck(),
  new AtMostOnceCheck(), new NotRunClaimCheck(), new RightAdapterCheck(), new LeavingEndpointCheck(), new SlotCapacityCheck(), new SingleLoadOwnerCheck(),
  new CrashBudgetCheck(), new FalseQuarantineCheck(), new RevokedKeyCheck(), new TeamOfRunCheck(), new QuotaCheck(),
  new RateLimitCheck(), new AddedRouteCheck(), new NewVersionCheck(), new SoftwareVersionCheck(), new ResumptionCheck(), new PartBudgetCheck(), new FavouredInstanceCheck(),
  new RetryBoundCheck(), new BackoffCheck(), new SaidLeavingCheck(), new SlowEndpointCheck(), new LongPromptCheck(), new UnboundedAnswersCheck()
]
