/** Computes fingerprints of routed requests and of the parts of their prompts. All arrivals of the same request, on any instance, have the same fingerprint. */
import { createHash } from 'node:crypto'
import { joinFingerprint, partFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix, PartFingerprint, RequestFingerprint } from '@limpetwinch/decisions'
import { sharedPartIds } from '../relay/request-codec.js'
import type { RequestFacts } from '../relay/request-codec.js'
import type { RoutedRequest } from '../relay/routed-request.js'

/** The parts of a request that its fingerprint covers. Request ids, deadlines and stream positions differ between arrivals and are left out. */
export type FingerprintInput = Pick<RoutedRequest, 'method' | 'target' | 'facts' | 'body'> & { readonly route: Pick<RoutedRequest['route'], 'host'> }

/**
 * Lengths of the two digests that make up a fingerprint, in base64 characters of six bits each. The digests are cryptographic so that a
 * caller cannot forge the fingerprint of another caller's request.
 */
const PREFIX_CHARACTERS = 16
const BODY_CHARACTERS = 22

/** Maximum number of parts of one prompt that are looked at, which bounds the memory and the notices that one caller can cause. */
const MAXIMUM_PARTS = 32
/** Ids of parts that stand in a fingerprint as they are; any other id is replaced by its digest. */
const PLAIN_PART_ID = /^[0-9a-f]{1,32}$/
const LEADING_ZEROS = /^0+(?=.)/

/** @returns the prefix of the request's fingerprint; computing it does not read the body, so its cost does not depend on the body's size */
export function fingerprintPrefix ({ method, target, route, facts, body }: FingerprintInput): FingerprintPrefix {
  const parts = [method, route.host, target, facts.caller ?? '', facts.adapter?.key ?? '', body?.length ?? 0]
  return digest(JSON.stringify(parts), PREFIX_CHARACTERS) as FingerprintPrefix
}

/** @returns the complete fingerprint of the request, which covers its body */
export function fingerprintOf (request: FingerprintInput, prefix = fingerprintPrefix(request)): RequestFingerprint {
  return joinFingerprint(prefix, digest(request.body ?? '', BODY_CHARACTERS))
}

/** @returns the fingerprints of the parts of a prompt that other requests may share, each once, in order */
export function partFingerprints (facts: Pick<RequestFacts, 'promptParts'>): readonly PartFingerprint[] {
  const ids = sharedPartIds(facts).slice(0, MAXIMUM_PARTS).map(normalisedPartId)
  return [...new Set(ids)].map(partFingerprint)
}

/** @returns the same text for all spellings of one hexadecimal number */
function normalisedPartId (id: string): string {
  const number = id.toLowerCase().replace(LEADING_ZEROS, '')
  return PLAIN_PART_ID.test(number) ? number : digest(id, BODY_CHARACTERS)
}

function digest (content: string | Buffer, characters: number): string {
  return createHash('sha256').update(content).digest('base64url').slice(0, characters)
}
