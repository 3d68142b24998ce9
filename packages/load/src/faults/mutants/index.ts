/** Wrong parts by name. Each breaks one promise, and the check of that promise has to catch it. */
import { silentLogger } from '@limpetwinch/core'
import type { InstanceSettings } from '@limpetwinch/core'
import { EntryInstance } from '@limpetwinch/entry'
import type { EntryComponents } from '@limpetwinch/entry'
import { FaultRunParts } from '../fault-run-parts.js'
import { DropLastPartClient, MutantClientParts, ReportNotRunClient, RetryAfterSendClient, SwapStreamsClient } from './engine-client-mutants.js'
import { ForgetClaims, ForgetClaimsParts } from './claims-mutants.js'
import { ForeignAdapterDelivery, LastVersionDelivery, MutantDeliveryParts, SilentFailureDelivery } from './delivery-mutants.js'
import { HastyInstance } from './instance-mutants.js'
import { IgnoreLeavingParts } from './membership-mutants.js'
import { IgnorePinsParts } from './scheduling-mutants.js'
import { LapsedLeaseParts } from './ownership-mutants.js'
import { OlderRevisionParts } from './settings-mutants.js'

interface Mutant {
  /** The promise that it breaks. */
  readonly breaks: string
  readonly parts?: () => EntryComponents
  readonly instance?: typeof EntryInstance
}

const MUTANTS: Readonly<Record<string, Mutant>> = {
  'retry-after-send': { breaks: 'at-most-once', parts: () => new MutantClientParts(RetryAfterSendClient) },
  'evict-ignoring-pins': { breaks: 'no-eviction-in-use', parts: () => new IgnorePinsParts() },
  'apply-older-revision': { breaks: 'settings-in-force', parts: () => new OlderRevisionParts() },
  'trust-lapsed-lease': { breaks: 'no-eviction-in-use', parts: () => new LapsedLeaseParts() },
  'drop-last-part': { breaks: 'whole-answer', parts: () => new MutantClientParts(DropLastPartClient) },
  'forward-to-leaving': { breaks: 'leaving-endpoint', parts: () => new IgnoreLeavingParts() },
  'swap-streams': { breaks: 'whole-answer', parts: () => new MutantClientParts(SwapStreamsClient) },
  'report-unknown-as-not-run': { breaks: 'not-run', parts: () => new MutantClientParts(ReportNotRunClient) },
  'lose-key-holder': { breaks: 'at-most-once', parts: () => new ForgetClaimsParts(ForgetClaims) },
  'route-by-foreign-adapter': { breaks: 'right-adapter', parts: () => new MutantDeliveryParts(ForeignAdapterDelivery) },
  'serve-another-version': { breaks: 'right-adapter', parts: () => new MutantDeliveryParts(LastVersionDelivery) },
  'stop-at-once': { breaks: 'planned-stop', instance: HastyInstance },
  'silent-failure': { breaks: 'every-request-ended', parts: () => new MutantDeliveryParts(SilentFailureDelivery) }
}

/** The names of all mutants. */
export const MUTANT_NAMES: readonly string[] = Object.keys(MUTANTS)

/** @returns the promise that a mutant breaks */
export function promiseBrokenBy (mutant: string): string | undefined {
  return MUTANTS[mutant]?.breaks
}

/**
 * @param settings - of the instance
 * @param name - the mutant, or undefined for the instance as it ships
 * @returns an instance of a fault run, not yet started
 */
export function entryFor (settings: InstanceSettings, name: string | undefined): EntryInstance {
  const mutant: Mutant | undefined = name === undefined ? { breaks: '' } : MUTANTS[name]
  if (mutant === undefined) throw new Error(`There is no mutant '${name}'; take one of ${MUTANT_NAMES.join(', ')}.`)
  const { instance: Instance = EntryInstance, parts } = mutant
  return new Instance(settings, silentLogger(), parts?.() ?? new FaultRunParts())
}
