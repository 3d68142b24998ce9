/** The response text of the stand-in engine, in the form that the checker uses. */
import { expectedAnswer } from '@limpetwinch/stand-ins'
import type { ComputeAnswer } from './rules/whole-answer-rule.js'

/** Computes the text that a stand-in engine generates for a request. */
export const standInAnswer: ComputeAnswer = (generation) => expectedAnswer(generation, generation.maximumTokens)
