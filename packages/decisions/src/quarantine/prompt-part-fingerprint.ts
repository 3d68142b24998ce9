/** Fingerprints that identify parts of prompts in quarantine decisions. */
import type { Branded } from '@limpetwinch/core'
import type { RequestFingerprint } from './request-fingerprint.js'

/** Identifies a part of prompts. All prompts that contain the part have the same fingerprint of it. */
export type PartFingerprint = Branded<string, 'PartFingerprint'>

/** What crashes may have in common, and what is quarantined: a request, or a part of prompts. */
export type Suspect = RequestFingerprint | PartFingerprint

const PREFIX = 'part-'

/** @param digest - short text that is equal for equal parts, and contains no dot */
export function partFingerprint (digest: string): PartFingerprint {
  return `${PREFIX}${digest}` as PartFingerprint
}

/** @returns whether the suspect is a part of prompts */
export function isPartFingerprint (suspect: Suspect): suspect is PartFingerprint {
  return suspect.startsWith(PREFIX)
}
