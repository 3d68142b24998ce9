/** Mutants by name: faulty components that each break one promise. The check of that promise has to catch the mutant. */
import { silentLogger } from '@limpetwinch/core'
import type { InstanceSettings } from '@limpetwinch/core'
import { EntryInstance } from '@limpetwinch/entry'
import type { EntryComponents } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'
import { DropLastPartClient, MutantClientComponents, ReportNotRunClient, RetryAfterSendClient, SwapStreamsClient } from './engine-client-mutants.js'
import { ForgetClaims, MutantClaimsComponents } from './claims-mutants.js'
import { ForeignAdapterDelivery, LastVersionDelivery, MutantDeliveryComponents, SilentFailureDelivery } from './delivery-mutants.js'
import { StopAtOnceInstance } from './instance-mutants.js'
import { IgnoreLeavingComponents } from './membership-mutants.js'
import { IgnorePinsComponents } from './scheduling-mutants.js'
import { ExpiredLeaseComponents } from './ownership-mutants.js'
import { OlderRevisionComponents } from './settings-mutants.js'

interface Mutant {
  /** Name of the promise that the mutant breaks. */
  readonly breaks: string
  readonly components?: () => EntryComponents
  readonly instance?: typeof EntryInstance
}

const MUTANTS: Readonly<Record<string, Mutant>> = {
  'retry-after-send': { breaks: 'at-most-once', components: () => new MutantClientComponents(RetryAfterSendClient) },
  'evict-ignoring-pins': { breaks: 'no-eviction-in-use', components: () => new IgnorePinsComponents() },
  'apply-older-revision': { breaks: 'settings-in-force', components: () => new OlderRevisionComponents() },
  'trust-lapsed-lease': { breaks: 'no-eviction-in-use', components: () => new ExpiredLeaseComponents() },
  'drop-last-part': { breaks: 'whole-answer', components: () => new MutantClientComponents(DropLastPartClient) },
  'forward-to-leaving': { breaks: 'leaving-endpoint', components: () => new IgnoreLeavingComponents() },
  'swap-streams': { breaks: 'whole-answer', components: () => new MutantClientComponents(SwapStreamsClient) },
  'report-unknown-as-not-run': { breaks: 'not-run', components: () => new MutantClientComponents(ReportNotRunClient) },
  'lose-key-holder': { breaks: 'at-most-once', components: () => new MutantClaimsComponents(ForgetClaims) },
  'route-by-foreign-adapter': { breaks: 'right-adapter', components: () => new MutantDeliveryComponents(ForeignAdapterDelivery) },
  'serve-another-version': { breaks: 'right-adapter', components: () => new MutantDeliveryComponents(LastVersionDelivery) },
  'stop-at-once': { breaks: 'planned-stop', instance: StopAtOnceInstance },
  'silent-failure': { breaks: 'every-request-ended', components: () => new MutantDeliveryComponents(SilentFailureDelivery) }
}

/** Names of all mutants, as the command line takes them. */
export const MUTANT_NAMES: readonly string[] = Object.keys(MUTANTS)

/** @returns the name of the promise that a mutant breaks, or undefined for an unknown mutant */
export function promiseBrokenBy (mutant: string): string | undefined {
  return MUTANTS[mutant]?.breaks
}

/**
 * @param settings - settings of the instance
 * @param name - name of the mutant, or undefined for an instance without one
 * @returns an instance for a fault run, not yet started
 */
export function createEntry (settings: InstanceSettings, name: string | undefined): EntryInstance {
  const mutant: Mutant | undefined = name === undefined ? { breaks: '' } : MUTANTS[name]
  if (mutant === undefined) throw new Error(`Unknown mutant '${name}'; use one of ${MUTANT_NAMES.join(', ')}.`)
  const { instance: Instance = EntryInstance, components } = mutant
  return new Instance(settings, silentLogger(), components?.() ?? new FaultRunComponents())
}
