/** Histories of runs and the checker of the promises over them. */
export * from './events.js'
export * from './json-lines.js'
export * from './history.js'
export * from './history-rule.js'
export * from './checker.js'
export type { ComputeAnswer, GenerationParameters } from './rules/whole-answer-rule.js'
export * from './stand-in-answer.js'
