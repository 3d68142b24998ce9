/** Digests of keys, so that no key is kept in memory, passed to a peer or written to a log. */
import { createHash } from 'node:crypto'
import type { KeyDigest } from '../routes/configuration.js'

/**
 * @param key - the key as its holder sends it
 * @returns the digest by which the key is looked up; how long a lookup takes tells nothing about the key
 */
export function digestOfKey (key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64url') as KeyDigest
}
