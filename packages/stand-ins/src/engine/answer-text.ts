/** Generates response texts as a pure function of the request, so that a checker can detect a wrong adapter by the text alone. */
import { createHash } from 'node:crypto'

/** Input that determines a response text. */
export interface AnswerQuestion {
  /** Adapter as `team/adapter@version`, with or without `~token`, which is ignored; undefined for the base model without an adapter. */
  readonly adapter?: string | undefined
  readonly prompt: string
  readonly seed?: number | undefined
}

const CONSONANTS = 'bdfghjklmnprstvz'
const VOWELS = 'aeiou'
const SYLLABLES_PER_TOKEN = 3
const CHARACTERS_PER_PROMPT_TOKEN = 4

/** The text of one response. */
export class AnswerText {
  private readonly base: number
  private readonly salt: number

  /** @param question - adapter, prompt and seed */
  constructor (question: AnswerQuestion) {
    const adapter = question.adapter?.replace(/~[^~]*$/, '') ?? ''
    const digest = createHash('sha256').update(`${adapter}\n${question.seed ?? 0}\n${question.prompt}`).digest()
    this.base = digest.readUInt32LE(0)
    this.salt = digest.readUInt32LE(4)
  }

  /**
   * @param position - position of the token, from 0
   * @returns text of the token
   */
  token (position: number): string {
    let state = mix(this.base ^ mix((position + this.salt) >>> 0))
    let word = position === 0 ? '' : ' '
    for (let syllable = 0; syllable < SYLLABLES_PER_TOKEN; syllable += 1) {
      word += CONSONANTS.charAt(state % CONSONANTS.length) + VOWELS.charAt((state >>> 8) % VOWELS.length)
      state = mix(state)
    }
    return word
  }

  /** @returns the complete text of a response with a number of tokens */
  whole (tokens: number): string {
    let text = ''
    for (let position = 0; position < tokens; position += 1) text += this.token(position)
    return text
  }
}

/**
 * Computes the text of a response, for checks.
 *
 * @param question - adapter, prompt and seed
 * @param tokens - number of tokens of the response
 * @returns the expected text
 */
export function expectedAnswer (question: AnswerQuestion, tokens: number): string {
  return new AnswerText(question).whole(tokens)
}

/** @returns the number of tokens of a prompt, as the stand-in engine counts them */
export function countPromptTokens (prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_PROMPT_TOKEN))
}

/** Hashes a 32-bit integer. */
function mix (value: number): number {
  let mixed = value >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) >>> 0
  return (mixed ^ (mixed >>> 16)) >>> 0
}
