/** The parts of prompts that requests of the soak share. */
const FIRST_PARTS = 2
const SECOND_PARTS = 6

/** @returns the parts of the prompt of the request with the given number that other requests share, in order */
export function usualPromptParts (number: number): readonly string[] {
  return [`first-${number % FIRST_PARTS}`, `second-${number % SECOND_PARTS}`]
}
