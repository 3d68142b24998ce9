/** Faults by which engines of another software version join a service. */
import type { SoakEnvironment } from '../soak-environment.js'
import { SoakFault } from './soak-fault.js'

const SOFTWARE_VERSIONS = ['v1', 'v1.1', 'v1.2'] as const
/** Range of the time for which a replaced engine keeps serving. */
const LEAVING_MILLISECONDS = { minimum: 300, maximum: 2_500 }
/** Range of the time from the start of an engine that has returned until its entry says so. */
const ENTRY_DELAY_MILLISECONDS = { minimum: 0, maximum: 2_000 }

function anotherVersion ({ random }: SoakEnvironment, version: string): string {
  return random.pick(SOFTWARE_VERSIONS.filter((other) => other !== version))
}

/** Replaces engines one after the other by those of another software version: the new one starts first, the old one leaves with or without a word. */
export class RollEngines extends SoakFault {
  override readonly kind = 'roll-engines'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { deployment, random, record } = environment
    const replaced = deployment.engines.filter(({ hasEnded }) => !hasEnded)
    const version = anotherVersion(environment, replaced[0]?.softwareVersion ?? '')
    await this.recordWhile(environment, undefined, async () => {
      for (const engine of replaced) {
        await deployment.addEngine({ softwareVersion: version })
        if (engine.hasEnded) continue
        if (random.pick([true, false])) await engine.removeEntry()
        else if (await engine.beginLeaving()) record.leavings.push({ endpoint: engine.options.id, at: Date.now() })
        await environment.wait(LEAVING_MILLISECONDS.minimum, LEAVING_MILLISECONDS.maximum)
        if (!engine.hasEnded) await engine.leave()
      }
    })
  }
}

/** Ends an engine and starts it again under its id and at its address with another software version, before its entry says so. */
export class ReturnWithAnotherVersion extends SoakFault {
  override readonly kind = 'return-with-another-version'

  override async run (environment: SoakEnvironment): Promise<void> {
    const { deployment, random } = environment
    const engine = random.pick(deployment.engines.filter(({ hasEnded }) => !hasEnded))
    const { options: { id }, softwareVersion, url } = engine
    await this.recordWhile(environment, id, async () => {
      await engine.crash()
      await environment.wait(0, 500)
      const entryDelayMilliseconds = random.between(ENTRY_DELAY_MILLISECONDS.minimum, ENTRY_DELAY_MILLISECONDS.maximum)
      await deployment.addEngine({ id, port: Number(new URL(url).port), softwareVersion: anotherVersion(environment, softwareVersion), entryDelayMilliseconds })
    })
  }
}
