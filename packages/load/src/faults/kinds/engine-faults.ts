/** Faults of the stand-in engines. */
import type { EngineFaults, StandInEngine } from '@limpetwinch/stand-ins'
import { Fault, sleepBetween } from '../fault.js'
import type { FaultContext } from '../fault.js'

/** A fault that is set on one randomly chosen engine and cleared after 300 to 1,500 ms. */
abstract class EngineFault extends Fault {
  /** Fault settings that the engine receives when the fault begins. */
  protected abstract readonly set: EngineFaults
  /** Fault settings that the engine receives when the fault ends. */
  protected abstract readonly unset: EngineFaults

  override async run (context: FaultContext): Promise<void> {
    const engine = context.random.pick(context.deployment.engines)
    engine.setFaults(this.set)
    await sleepBetween(context, 300, 1_500)
    engine.setFaults(this.unset)
  }
}

/** An engine restarts without any loaded adapters. */
export class RestartCold extends Fault {
  override readonly kind = 'restart-cold'

  override async run (context: FaultContext): Promise<void> {
    const engine: StandInEngine = context.random.pick(context.deployment.engines)
    engine.restart(context.random.between(0, 400))
    await sleepBetween(context, 100, 500)
  }
}

/** The next two adapter loads on an engine fail. */
export class FailLoads extends EngineFault {
  override readonly kind = 'fail-loads'
  protected override readonly set = { failLoads: 2 }
  protected override readonly unset = { failLoads: 0 }
}

/** An engine cuts its next six response streams after two tokens and continues to run their requests. */
export class LoseEngineAnswers extends EngineFault {
  override readonly kind = 'lose-engine-answers'
  protected override readonly set = { dropStreams: 6, dropAfterTokens: 2 }
  protected override readonly unset = { dropStreams: 0 }
}

/** An engine cuts its next 40 response streams before their first part, including connections that try to resume a cut stream. */
export class LoseWholeEngineAnswers extends EngineFault {
  override readonly kind = 'lose-whole-engine-answers'
  protected override readonly set = { dropStreams: 40, dropAfterTokens: 0 }
  protected override readonly unset = { dropStreams: 0 }
}

/** An engine sends every third part of a stream twice and every fourth part after its successor. */
export class LateAndDuplicatedParts extends EngineFault {
  override readonly kind = 'late-and-doubled-parts'
  protected override readonly set = { duplicateEvery: 3, lateEvery: 4 }
  protected override readonly unset = { duplicateEvery: 0, lateEvery: 0 }
}

/** An engine refuses all new requests. */
export class RefuseRequests extends EngineFault {
  override readonly kind = 'refuse-requests'
  protected override readonly set = { refuse: true }
  protected override readonly unset = { refuse: false }
}

/** An engine confirms cancellations without carrying them out, and its report lags by 500 ms. */
export class IgnoreCancel extends EngineFault {
  override readonly kind = 'ignore-cancel'
  protected override readonly set = { ignoreCancel: true, reportLag: 500 }
  protected override readonly unset = { ignoreCancel: false, reportLag: 60 }
}

/** No data passes any more on the open connections of an engine; new connections work. */
export class SilentConnections extends Fault {
  override readonly kind = 'silent-connections'

  override async run (context: FaultContext): Promise<void> {
    context.random.pick(context.deployment.engines).setFaults({ silenceConnections: true })
    await sleepBetween(context, 100, 500)
  }
}

/** The platform lists an engine as leaving, and as live again 2.2 to 3 s later. */
export class LeavingEngine extends Fault {
  override readonly kind = 'leaving-engine'

  override async run (context: FaultContext): Promise<void> {
    const index = context.random.between(0, context.deployment.engines.length - 1)
    await context.deployment.markEngine(index, 'leaving')
    await sleepBetween(context, 2_200, 3_000)
    await context.deployment.markEngine(index, 'live')
  }
}
