/** Rendezvous hashing: instances that know the same endpoints agree on an adapter's home without talking. */

const OFFSET = 0x811c9dc5
const PRIME = 0x01000193

/**
 * @param key - such as an adapter
 * @param endpoint - one candidate
 * @returns a weight from 0 to 1, the same on every instance; the candidate with the highest is the key's home
 */
export function rendezvousWeight (key: string, endpoint: string): number {
  let hash = OFFSET
  for (let index = 0; index < key.length; index++) hash = Math.imul(hash ^ key.charCodeAt(index), PRIME)
  for (let index = 0; index < endpoint.length; index++) hash = Math.imul(hash ^ endpoint.charCodeAt(index), PRIME)
  // FNV-1a mixes its last bytes badly into the high bits, by which endpoints e1 and e2 would share their order.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 0x1_0000_0000
}
