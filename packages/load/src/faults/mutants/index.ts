/** Wrong parts by name. Each breaks one promise, and the check of that promise has to catch it. */
import type { EntryParts } from '@limpetwinch/entry'
import { FaultRunParts } from '../fault-run-parts.js'
import { DropLastPartClient, MutantClientParts, ReportNotRunClient, RetryAfterSendClient, SwapStreamsClient } from './engine-client-mutants.js'
import { ForgetClaims, ForgetClaimsParts } from './claims-mutants.js'
import { ForeignAdapterDelivery, LastVersionDelivery, MutantDeliveryParts } from './delivery-mutants.js'
import { IgnoreLeavingParts } from './membership-mutants.js'
import { IgnorePinsParts } from './scheduling-mutants.js'
import { LapsedLeaseParts } from './ownership-mutants.js'
import { OlderRevisionParts } from './settings-mutants.js'

const MUTANTS: Readonly<Record<string, { readonly breaks: string, readonly parts: () => EntryParts }>> = {
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
  'serve-another-version': { breaks: 'right-adapter', parts: () => new MutantDeliveryParts(LastVersionDelivery) }
}

/** The names of all mutants. */
export const MUTANT_NAMES: readonly string[] = Object.keys(MUTANTS)

/** @returns the promise that a mutant breaks */
export function promiseBrokenBy (mutant: string): string | undefined {
  return MUTANTS[mutant]?.breaks
}

/** @returns the parts of an instance, with the mutant among them if one is named */
export function partsOf (mutant: string | undefined): EntryParts {
  if (mutant === undefined) return new FaultRunParts()
  const named = MUTANTS[mutant]
  if (named === undefined) throw new Error(`There is no mutant '${mutant}'; take one of ${MUTANT_NAMES.join(', ')}.`)
  return named.parts()
}
