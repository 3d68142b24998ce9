/** The answer text of the stand-in engine, as the checker asks for it. */
import { expectedAnswer } from '@limpetwinch/stand-ins'
import type { ComputeAnswer } from './rules/whole-answer-rule.js'

/** What stand-in engines generate. */
export const standInAnswer: ComputeAnswer = (generation) => expectedAnswer(generation, generation.maximumTokens)
