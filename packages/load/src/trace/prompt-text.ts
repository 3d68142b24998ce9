/** Prompts of the load: alike at the start for one adapter, so that prefixes can be cached, and each unique at its end. */

const CHARACTERS_PER_TOKEN = 4
const FILLER = 'report of the meeting '

/**
 * @param model - `team/adapter`, whose prompts start alike
 * @param id - makes the prompt unique
 * @param tokens - about so many tokens; the id may make it longer
 * @returns the prompt
 */
export function promptText (model: string, id: string, tokens: number): string {
  const end = ` #${id}`
  const length = Math.max(0, tokens * CHARACTERS_PER_TOKEN - end.length)
  const filler = `${model}: ${FILLER.repeat(Math.ceil(length / FILLER.length))}`
  return filler.slice(0, length) + end
}
