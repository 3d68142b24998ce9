/** Generates prompts that share a prefix for each adapter, so that prefix caching applies, and have a unique end. */

const CHARACTERS_PER_TOKEN = 4
const FILLER = 'report of the meeting '

/**
 * @param model - `team/adapter`, which determines the shared prefix
 * @param id - unique end of the prompt
 * @param tokens - approximate number of tokens; a long id can exceed it
 * @returns the prompt
 */
export function promptText (model: string, id: string, tokens: number): string {
  const end = ` #${id}`
  const length = Math.max(0, tokens * CHARACTERS_PER_TOKEN - end.length)
  const filler = `${model}: ${FILLER.repeat(Math.ceil(length / FILLER.length))}`
  return filler.slice(0, length) + end
}
