/**
 * Tells a response that is slow from one whose bytes never become an answer: interim responses, header lines, comments, chunk extensions, trailers
 * or the pieces of one event, without an end. Silence is no such response: an engine that reads a long prompt sends nothing for seconds.
 */

/** Bytes of a response that may arrive without progress: more than any head, and than the largest accepted event in its chunks. */
export const MAXIMUM_FILLER_BYTES = 1_179_648
/** Rate of bytes at which the pieces of one event may come for any time, bytes a second: a large event on a slow link. At this rate it soon exceeds its bound. */
const LEAST_EVENT_RATE = 524_288
const MILLISECONDS_PER_SECOND = 1_000
/**
 * Arrivals of bytes without progress, below which time alone says nothing: keep-alive comments come about once a second, and the segments of
 * one head or event may be delayed on their way.
 */
export const MINIMUM_FILLER_ARRIVALS = 8

/** What is wrong with a response, for the log and the metrics. */
export type UnboundedKind = 'filler-bytes' | 'filler-time' | 'head' | 'event' | 'body'

/** Follows the bytes of one response. Times are monotonic milliseconds. */
export class ResponseProgressMeter {
  private readonly fillerMilliseconds: number
  /** Bytes that had arrived at the latest arrival, and at the latest progress. */
  private arrivedBytes = 0
  private progressBytes = 0
  /** Arrivals since the latest progress, and the time of the first of them. */
  private fillerArrivals = 0
  private firstFillerAt = 0
  /** Bytes of the event that is not complete yet which have arrived since the latest progress. */
  private pieceBytes = 0
  private bodyArrivals = 0
  private bodyBeganAt: number | undefined
  private isPaused = false

  /** @param fillerMilliseconds - time for which bytes without progress are accepted */
  constructor (fillerMilliseconds: number) {
    this.fillerMilliseconds = fillerMilliseconds
  }

  /** Whether bytes have arrived so often since the latest progress that time alone is missing to judge the response. */
  get hasFiller (): boolean {
    return this.fillerArrivals >= MINIMUM_FILLER_ARRIVALS
  }

  /**
   * Records that bytes have arrived, before they are read. Judges only what arrived earlier, which has been read by now.
   *
   * @param totalBytes - bytes that have arrived on the connection so far
   * @returns what is wrong with the response; undefined while nothing is
   */
  arrived (totalBytes: number, now: number): 'filler-bytes' | 'filler-time' | undefined {
    if (this.isPaused) return undefined
    if (this.fillerArrivals === 0) this.firstFillerAt = now
    const fillerBytes = this.arrivedBytes - this.progressBytes
    const isLong = this.isFillerLong(now)
    this.fillerArrivals += 1
    this.arrivedBytes = totalBytes
    if (fillerBytes > MAXIMUM_FILLER_BYTES) return 'filler-bytes'
    return isLong ? 'filler-time' : undefined
  }

  private isFillerLong (now: number): boolean {
    const milliseconds = now - this.firstFillerAt
    if (this.fillerArrivals < MINIMUM_FILLER_ARRIVALS || milliseconds < this.fillerMilliseconds) return false
    return this.pieceBytes < LEAST_EVENT_RATE * milliseconds / MILLISECONDS_PER_SECOND
  }

  /** Records that the bytes that have arrived became a part of the answer: its final head, a part of its body or a complete event. */
  progressed (): void {
    this.progressBytes = this.arrivedBytes
    this.fillerArrivals = 0
    this.pieceBytes = 0
  }

  /** Records that a piece of an event arrived that is not complete yet. @param bytes - length of the piece */
  pieceArrived (bytes: number): void {
    this.pieceBytes += bytes
  }

  /** Records that a part of a body arrived that is complete only with its last byte. */
  bodyArrived (now: number): void {
    this.bodyBeganAt ??= now
    this.bodyArrivals += 1
  }

  /** @returns whether a body has been arriving in many parts for long, so that a response that is given up now is one without an end */
  isBodyEndless (now: number): boolean {
    return this.bodyBeganAt !== undefined && this.bodyArrivals >= MINIMUM_FILLER_ARRIVALS && now - this.bodyBeganAt >= this.fillerMilliseconds
  }

  /** Stops judging while nobody reads what arrives, since the caller is slow. */
  pause (): void {
    this.isPaused = true
  }

  /**
   * Judges further bytes again.
   *
   * @param totalBytes - bytes that have arrived on the connection so far
   */
  resume (totalBytes: number): void {
    this.isPaused = false
    this.arrivedBytes = totalBytes
    this.progressed()
  }
}
