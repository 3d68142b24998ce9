/** Histories and their checker. */
export * from './events.js'
export * from './json-lines.js'
export * from './history.js'
export * from './history-rule.js'
export * from './checker.js'
export type { AnswerText, GenerationOf } from './rules/whole-answer-rule.js'
export * from './stand-in-answer.js'
