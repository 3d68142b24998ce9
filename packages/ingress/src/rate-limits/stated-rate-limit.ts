/**
 * A rate limit as one response states it: the requests a second that the endpoint accepts from all instances together; undefined when the
 * response names none, and `malformed` when the value cannot be read.
 */
export type StatedRateLimit = number | 'malformed' | undefined
