/** Computes fingerprints of routed requests. All arrivals of the same request, on any instance, have the same fingerprint. */
import { createHash } from 'node:crypto'
import { joinFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix, RequestFingerprint } from '@limpetwinch/decisions'
import type { RoutedRequest } from '../relay/routed-request.js'

/** The parts of a request that its fingerprint covers. Request ids, deadlines and stream positions differ between arrivals and are left out. */
export type FingerprintInput = Pick<RoutedRequest, 'method' | 'target' | 'facts' | 'body'> & { readonly route: Pick<RoutedRequest['route'], 'host'> }

/**
 * Lengths of the two digests that make up a fingerprint, in base64 characters of six bits each. The digests are cryptographic so that a
 * caller cannot forge the fingerprint of another caller's request.
 */
const PREFIX_CHARACTERS = 16
const BODY_CHARACTERS = 22

/** @returns the prefix of the request's fingerprint; computing it does not read the body, so its cost does not depend on the body's size */
export function fingerprintPrefix ({ method, target, route, facts, body }: FingerprintInput): FingerprintPrefix {
  const parts = [method, route.host, target, facts.caller ?? '', facts.adapter?.key ?? '', body?.length ?? 0]
  return digest(JSON.stringify(parts), PREFIX_CHARACTERS) as FingerprintPrefix
}

/** @returns the complete fingerprint of the request, which covers its body */
export function fingerprintOf (request: FingerprintInput, prefix = fingerprintPrefix(request)): RequestFingerprint {
  return joinFingerprint(prefix, digest(request.body ?? '', BODY_CHARACTERS))
}

function digest (content: string | Buffer, characters: number): string {
  return createHash('sha256').update(content).digest('base64url').slice(0, characters)
}
