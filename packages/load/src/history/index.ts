/** Histories and their checker. */
export * from './events.js'
export * from './json-lines.js'
export * from './history.js'
export * from './history-rule.js'
export * from './checker.js'
export type { ComputeAnswer as AnswerText, GenerationParameters as GenerationOf } from './rules/whole-answer-rule.js'
export * from './stand-in-answer.js'
