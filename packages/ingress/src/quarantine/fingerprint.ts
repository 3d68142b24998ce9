/** Fingerprints of routed requests. */
import { createHash } from 'node:crypto'
import { joinFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix, RequestFingerprint } from '@limpetwinch/decisions'
import type { RoutedRequest } from '../relay/routed-request.js'

/** What a fingerprint is made of. Ids, deadlines and positions in a stream differ between arrivals of one request. */
export type FingerprintInput = Pick<RoutedRequest, 'method' | 'target' | 'facts' | 'body'> & { readonly route: Pick<RoutedRequest['route'], 'host'> }

/** Characters of base64, six bits each. Digests are cryptographic: a caller must not be able to forge the fingerprint of another's request. */
const PREFIX_CHARACTERS = 16
const BODY_CHARACTERS = 22

/** @returns the prefix of the request's fingerprint; it costs the same whatever the size of the body */
export function fingerprintPrefix ({ method, target, route, facts, body }: FingerprintInput): FingerprintPrefix {
  const parts = [method, route.host, target, facts.caller ?? '', facts.adapter?.key ?? '', body?.length ?? 0]
  return digest(JSON.stringify(parts), PREFIX_CHARACTERS) as FingerprintPrefix
}

/** @returns the request's fingerprint */
export function fingerprintOf (request: FingerprintInput, prefix = fingerprintPrefix(request)): RequestFingerprint {
  return joinFingerprint(prefix, digest(request.body ?? '', BODY_CHARACTERS))
}

function digest (content: string | Buffer, characters: number): string {
  return createHash('sha256').update(content).digest('base64url').slice(0, characters)
}
