/** Faults of engines. */
import type { EngineFaults, StandInEngine } from '@limpetwinch/stand-ins'
import { Fault, sleepBetween } from '../fault.js'
import type { FaultContext } from '../fault.js'

/** A fault of one engine that is set and taken back. */
abstract class EngineFault extends Fault {
  /** What is set. */
  protected abstract readonly set: EngineFaults
  /** What takes it back. */
  protected abstract readonly unset: EngineFaults

  override async run (site: FaultContext): Promise<void> {
    const engine = site.random.pick(site.deployment.engines)
    engine.setFaults(this.set)
    await sleepBetween(site, 300, 1_500)
    engine.setFaults(this.unset)
  }
}

/** An engine restarts with nothing loaded. */
export class RestartCold extends Fault {
  override readonly kind = 'restart-cold'

  override async run (site: FaultContext): Promise<void> {
    const engine: StandInEngine = site.random.pick(site.deployment.engines)
    engine.restart(site.random.between(0, 400))
    await sleepBetween(site, 100, 500)
  }
}

/** Loads fail. */
export class FailLoads extends EngineFault {
  override readonly kind = 'fail-loads'
  protected override readonly set = { failLoads: 2 }
  protected override readonly unset = { failLoads: 0 }
}

/** Streams are cut after some parts while their requests run on. */
export class LoseEngineAnswers extends EngineFault {
  override readonly kind = 'lose-engine-answers'
  protected override readonly set = { dropStreams: 6, dropAfterTokens: 2 }
  protected override readonly unset = { dropStreams: 0 }
}

/** Streams are cut before their first part, and so are the connections that would resume them. */
export class LoseWholeEngineAnswers extends EngineFault {
  override readonly kind = 'lose-whole-engine-answers'
  protected override readonly set = { dropStreams: 40, dropAfterTokens: 0 }
  protected override readonly unset = { dropStreams: 0 }
}

/** Parts come twice and out of order. */
export class LateAndDuplicatedParts extends EngineFault {
  override readonly kind = 'late-and-doubled-parts'
  protected override readonly set = { duplicateEvery: 3, lateEvery: 4 }
  protected override readonly unset = { duplicateEvery: 0, lateEvery: 0 }
}

/** An engine refuses new requests. */
export class RefuseRequests extends EngineFault {
  override readonly kind = 'refuse-requests'
  protected override readonly set = { refuse: true }
  protected override readonly unset = { refuse: false }
}

/** Cancellations are answered and not carried out. */
export class IgnoreCancel extends EngineFault {
  override readonly kind = 'ignore-cancel'
  protected override readonly set = { ignoreCancel: true, reportLag: 500 }
  protected override readonly unset = { ignoreCancel: false, reportLag: 60 }
}

/** Open connections say nothing any more; new ones work. */
export class SilentConnections extends Fault {
  override readonly kind = 'silent-connections'

  override async run (site: FaultContext): Promise<void> {
    site.random.pick(site.deployment.engines).setFaults({ silenceConnections: true })
    await sleepBetween(site, 100, 500)
  }
}

/** An engine is listed as leaving, and comes back. */
export class LeavingEngine extends Fault {
  override readonly kind = 'leaving-engine'

  override async run (site: FaultContext): Promise<void> {
    const index = site.random.between(0, site.deployment.engines.length - 1)
    await site.deployment.markEngine(index, 'leaving')
    await sleepBetween(site, 2_200, 3_000)
    await site.deployment.markEngine(index, 'live')
  }
}
