/** The text of an answer is a pure function of its question, so that a checker can tell a wrong adapter from the text alone. */
import { createHash } from 'node:crypto'

/** What an answer follows from. */
export interface AnswerQuestion {
  /** `team/adapter@version`, with or without `~token`; undefined for the base model alone. */
  readonly adapter?: string | undefined
  readonly prompt: string
  readonly seed?: number | undefined
}

const CONSONANTS = 'bdfghjklmnprstvz'
const VOWELS = 'aeiou'
const SYLLABLES_PER_TOKEN = 3
const CHARACTERS_PER_PROMPT_TOKEN = 4

/** The words of one answer, computed from its question. */
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
   * @param position - the token's position, from 0
   * @returns the token's text
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

  /** @returns the whole answer of so many tokens */
  whole (tokens: number): string {
    let text = ''
    for (let position = 0; position < tokens; position += 1) text += this.token(position)
    return text
  }
}

/**
 * Recomputes an answer.
 *
 * @param question - adapter, prompt and seed
 * @param tokens - how many tokens the answer has
 * @returns its text
 */
export function expectedAnswer (question: AnswerQuestion, tokens: number): string {
  return new AnswerText(question).whole(tokens)
}

/** @returns how many tokens the stand-in engine counts in a prompt */
export function countPromptTokens (prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_PROMPT_TOKEN))
}

/** Spreads 32 bits. */
function mix (value: number): number {
  let mixed = value >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35) >>> 0
  return (mixed ^ (mixed >>> 16)) >>> 0
}
