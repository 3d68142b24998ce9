/** Rendezvous hashing, by which all instances choose the same endpoint for an adapter. */

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const OFFSET = 0x811c9dc5
const PRIME = 0x01000193

/**
 * Rendezvous hashing: instances that know the same endpoints choose the same home endpoint, that is, the preferred one,
 * for a key without communicating.
 *
 * @param key - for example an adapter
 * @param endpoint - a candidate endpoint
 * @returns a weight from 0 to 1, equal on every instance; the candidate with the highest weight is the home of the key
 */
export function rendezvousWeight (key: string, endpoint: string): number {
  let hash = OFFSET
  for (let index = 0; index < key.length; index++) hash = Math.imul(hash ^ key.charCodeAt(index), PRIME)
  for (let index = 0; index < endpoint.length; index++) hash = Math.imul(hash ^ endpoint.charCodeAt(index), PRIME)
  // FNV-1a hardly mixes the last bytes into the high bits, so e1 and e2 would get almost equal weights. This finaliser mixes them.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 0x1_0000_0000
}
