/**
 * Cost of the pauses that a prompt causes: while an engine reads a prompt, all its streams pause, and a stream that pauses for longer than its
 * caller accepts is late. Costs are in milliseconds of waiting.
 */

/**
 * Cost of each stream on an engine that would be paused for longer than callers accept, because the engine reads a long prompt. Each such
 * stream is late, which costs its caller as much as half a second or more of waiting would. The constant is lower than that because
 * some streams end before the pause.
 */
const PAUSED_STREAM_MILLISECONDS = 200
/**
 * Largest share of the longest accepted pause that reading one prompt may take. The rest is a margin, since prompts that are read at the same
 * time add to the pause. For a longer prompt, all streams on the engine count as paused for too long.
 */
const PAUSE_SHARE = 0.9
/**
 * Cost of each stream on an engine when reading a prompt takes less than the longest accepted pause, but may exceed that pause together with
 * a prompt that is read right before or after it. The more prompt tokens are still to be read, the likelier such a joint pause is. So the
 * constant is multiplied by the square of the share of the longest pause that all these prompts take. The constant is half of
 * {@link PAUSED_STREAM_MILLISECONDS}, since the prompts may also not be read together.
 */
const JOINT_PAUSE_MILLISECONDS = PAUSED_STREAM_MILLISECONDS / 2
/** A prompt whose reading takes less than this share of the longest accepted pause is read between two events, without a noticeable pause. */
const SHORT_PROMPT_SHARE = 0.1
/**
 * Cost for a request with a short prompt when the prompts that its engine still has to read take as long as the longest accepted pause: its own
 * stream is then likely to be late. The cost falls with the square of their share of that pause, like {@link JOINT_PAUSE_MILLISECONDS}.
 */
const OWN_PAUSE_MILLISECONDS = PAUSED_STREAM_MILLISECONDS

/** What the cost of a prompt on one engine depends on. */
export interface PauseFacts {
  /** Tokens of the prompt that the engine has to read. */
  readonly promptTokens: number
  /** The longest pause between two events of a stream that callers accept. */
  readonly gapMilliseconds: number
  /** Requests that run on the engine. */
  readonly requests: number
  /** Tokens of other prompts that the engine still has to read. */
  readonly prefillTokens: number
}

/**
 * @param prefillMilliseconds - returns the time in which the engine reads a number of tokens
 * @returns the cost for the running streams of an engine when the engine reads a prompt now, in milliseconds of waiting
 */
export function pauseCost ({ promptTokens, gapMilliseconds, requests, prefillTokens }: PauseFacts, prefillMilliseconds: (tokens: number) => number): number {
  const alone = prefillMilliseconds(promptTokens) / gapMilliseconds
  if (alone < SHORT_PROMPT_SHARE) return 0
  if (alone >= PAUSE_SHARE) return requests * PAUSED_STREAM_MILLISECONDS
  const joint = Math.min(1, prefillMilliseconds(prefillTokens + promptTokens) / gapMilliseconds)
  return requests * JOINT_PAUSE_MILLISECONDS * joint ** 2
}

/**
 * @param prefillMilliseconds - returns the time in which the engine reads a number of tokens
 * @returns the cost for the stream of a short prompt that is sent to an engine now, in milliseconds of waiting: the stream pauses while the engine
 *   reads the prompts that it has to read already; 0 for a long prompt, whose stream begins after them
 */
export function ownPauseCost ({ promptTokens, gapMilliseconds, prefillTokens }: Omit<PauseFacts, 'requests'>, prefillMilliseconds: (tokens: number) => number): number {
  if (prefillMilliseconds(promptTokens) / gapMilliseconds >= SHORT_PROMPT_SHARE) return 0
  return OWN_PAUSE_MILLISECONDS * Math.min(1, prefillMilliseconds(prefillTokens) / gapMilliseconds) ** 2
}
