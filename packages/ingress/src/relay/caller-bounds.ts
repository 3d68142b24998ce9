/** How many connections of callers, and how many of their requests, a process takes by its memory and its descriptors. */

/** Memory of one request that waits for its turn: its parsed headers, its message objects and its signals. */
const WAITING_REQUEST_BYTES = 16_384
/** Part of the memory for requests that those that wait for their turn may take. */
const WAITING_SHARE = 0.25
/** Memory that a connection from which nothing is read may take: the operating system receives for it until its buffer is full. */
const UNREAD_BYTES = 2_097_152
/** Part of the memory for requests that such connections may take. */
const UNREAD_SHARE = 0.25
/** Least bound on such connections, and the bound of a process whose memory is not known. */
const MINIMUM_HELD_BACK = 4
const DEFAULT_HELD_BACK = 64
/** Least bound on the waiting requests, and the bound of a process whose memory is not known. */
const MINIMUM_WAITING = 256
const DEFAULT_WAITING = 16_384
/** Bytes that the operating system receives for a connection before it is accepted. */
const PENDING_BYTES = 65_536
/** Part of the memory for requests that connections which are not accepted yet may take. */
const PENDING_SHARE = 0.25
/** Least and largest number of connections that may wait to be accepted; the largest is that of a process whose memory is not known. */
const MINIMUM_PENDING = 64
const MAXIMUM_PENDING = 1_024

/** Descriptors that the process needs for files, the store, its peers and its listeners. */
const RESERVED_DESCRIPTORS = 200
/** Part of the other descriptors that connections of callers may take: each request also needs a connection to an endpoint. */
const CALLER_SHARE = 0.45
/** Most connections of a process whose descriptors are not known. */
const DEFAULT_CONNECTIONS = 10_000

/** @returns the most connections of callers for a process with so many descriptors; a default when they are not known */
export function callerConnectionsFor (descriptors: number | undefined): number {
  return descriptors === undefined ? DEFAULT_CONNECTIONS : Math.max(1, Math.floor((descriptors - RESERVED_DESCRIPTORS) * CALLER_SHARE))
}

/** @param requestBytes - most bytes of request bodies that the process may hold @returns the most requests that may wait for their turn */
export function waitingRequestsFor (requestBytes: number): number {
  if (requestBytes === Infinity) return DEFAULT_WAITING
  return Math.max(MINIMUM_WAITING, Math.floor(requestBytes * WAITING_SHARE / WAITING_REQUEST_BYTES))
}

/** @param requestBytes - most bytes of request bodies that the process may hold @returns the most connections from which nothing is read */
export function heldBackConnectionsFor (requestBytes: number): number {
  if (requestBytes === Infinity) return DEFAULT_HELD_BACK
  return Math.max(MINIMUM_HELD_BACK, Math.floor(requestBytes * UNREAD_SHARE / UNREAD_BYTES))
}

/**
 * @param requestBytes - most bytes of request bodies that the process may hold
 * @returns the backlog of the listening socket. In a burst, the operating system drops connections beyond it, and their callers retry only a second later
 */
export function pendingConnectionsFor (requestBytes: number): number {
  return Math.min(MAXIMUM_PENDING, Math.max(MINIMUM_PENDING, Math.floor(requestBytes * PENDING_SHARE / PENDING_BYTES)))
}
