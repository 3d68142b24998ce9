/** How long the steps of a simulated engine take; the figures are those of no real engine. */

/** Sequences that a step can hold. */
export const BATCH_CAPACITY = 16

/** Prompt tokens read in one step at most, all sequences together. */
export const PROMPT_TOKENS_PER_STEP = 1_024

const EMPTY_STEP_MILLISECONDS = 20
const SEQUENCE_MILLISECONDS = 0.5
const PROMPT_TOKEN_MILLISECONDS = 0.05

/** @returns the time of a step, milliseconds */
export function stepMilliseconds (sequences: number, promptTokens: number): number {
  return EMPTY_STEP_MILLISECONDS + SEQUENCE_MILLISECONDS * sequences + PROMPT_TOKEN_MILLISECONDS * promptTokens
}
