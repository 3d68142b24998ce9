/** Fingerprints that identify a request in quarantine decisions. */
import type { Branded } from '@limpetwinch/core'

/**
 * Identifies a request by its content. All copies and retries of a request have the same fingerprint, whatever request id they carry.
 * A fingerprint consists of a {@link FingerprintPrefix}, a separator and a digest of the body.
 */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>
/**
 * First part of a fingerprint: a digest of method, host, target, caller, adapter and body length, computed without reading the body.
 * If no tracked request has the same prefix, the digest of the body need not be computed.
 */
export type FingerprintPrefix = Branded<string, 'FingerprintPrefix'>

const SEPARATOR = '.'

/** @returns the fingerprint made of a prefix and the digest of a body */
export function joinFingerprint (prefix: FingerprintPrefix, bodyDigest: string): RequestFingerprint {
  return `${prefix}${SEPARATOR}${bodyDigest}` as RequestFingerprint
}

/** @returns the first part of a fingerprint, up to the separator, to look up whether any tracked request shares it */
export function prefixOf (fingerprint: RequestFingerprint): FingerprintPrefix {
  return fingerprint.slice(0, fingerprint.indexOf(SEPARATOR)) as FingerprintPrefix
}
