/** Step durations of a simulated engine; the figures are not measurements of a real engine. */

/** Maximum sequences in one step. */
export const BATCH_CAPACITY = 16

/** Maximum prompt tokens that one step reads over all sequences. */
export const PROMPT_TOKENS_PER_STEP = 1_024

const EMPTY_STEP_MILLISECONDS = 20
const SEQUENCE_MILLISECONDS = 0.5
const PROMPT_TOKEN_MILLISECONDS = 0.05

/** @returns the duration of a step, milliseconds */
export function stepMilliseconds (sequences: number, promptTokens: number): number {
  return EMPTY_STEP_MILLISECONDS + SEQUENCE_MILLISECONDS * sequences + PROMPT_TOKEN_MILLISECONDS * promptTokens
}
