import type { Branded } from '@limpetwinch/core'

/** Identity of a request, equal for all its copies and retries whatever request id they carry. Consists of a cheap prefix and a digest of the body. */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>
/** The part of a fingerprint that is computed without reading the request body. */
export type FingerprintPrefix = Branded<string, 'FingerprintPrefix'>

const SEPARATOR = '.'

/** @returns the fingerprint made of a prefix and the digest of a body */
export function joinFingerprint (prefix: FingerprintPrefix, bodyDigest: string): RequestFingerprint {
  return `${prefix}${SEPARATOR}${bodyDigest}` as RequestFingerprint
}

/** @returns the prefix of a fingerprint */
export function prefixOf (fingerprint: RequestFingerprint): FingerprintPrefix {
  return fingerprint.slice(0, fingerprint.indexOf(SEPARATOR)) as FingerprintPrefix
}
