/** Writes answers to where a request would go as text. */
import { table } from '../show/table.js'
import type { Where } from './where-schema.js'

/** @returns what would become of the request, in one sentence; equal for instances that agree */
export function outcomeText ({ outcome }: Where): string {
  switch (outcome.kind) {
    case 'sent': return `would be sent to ${outcome.endpoint}`
    case 'load': return `would have its adapter loaded by ${outcome.endpoint}`
    case 'wait': return 'would wait for a place in the rate limits'
    case 'refused': return `would be refused with ${outcome.status} ${outcome.error}`
  }
}

/** @returns the answer of one instance as text */
export function whereText (where: Where): string {
  const { instance, route = 'none', service = 'none', priority, configuration, candidates, unused, sections } = where
  return [
    `${instance}: the request ${outcomeText(where)}${detailText(where)}.`,
    `Route ${route}, service ${service}, priority ${priority ?? 'none'}, configuration ${configuration}.`,
    ...(candidates.length === 0 ? [] : [table(['ENDPOINT', 'DATA CENTRE', 'USE', 'COST', 'WHY', 'AGE OF IT'], candidates.map(({ endpoint, dataCentre, use, cost, items, ages }) => [endpoint, dataCentre, use, String(cost), listText(items), agesText(ages)]))]),
    ...Object.entries(unused).map(([reason, endpoints]) => `Unused, ${reason}: ${endpoints.join(', ')}.`),
    ...Object.entries(sections).map(([name, fields]) => `${name}: ${listText(fields)}.`)
  ].join('\n')
}

/** @returns whether the instances agree, as text; undefined for a single one */
export function agreementText (answers: readonly Where[]): string | undefined {
  if (answers.length < 2) return undefined
  const byOutcome = groupByOutcome(answers)
  if (byOutcome.size === 1) return `All ${answers.length} instances agree.`
  return [`${byOutcome.size} different answers:`, ...[...byOutcome].map(([text, same]) => `  ${text}: ${same.map(({ instance }) => instance).join(', ')}`)].join('\n')
}

function groupByOutcome (answers: readonly Where[]): Map<string, Where[]> {
  const groups = new Map<string, Where[]>()
  for (const answer of answers) groups.set(outcomeText(answer), [...groups.get(outcomeText(answer)) ?? [], answer])
  return groups
}

function detailText ({ outcome }: Where): string {
  if (outcome.kind === 'load') return `, in about ${outcome.waitMilliseconds} ms (it may wait ${outcome.longestWaitMilliseconds} ms)`
  if (outcome.kind === 'wait') return `, for about ${outcome.waitMilliseconds} ms`
  if (outcome.kind !== 'refused') return ''
  const after = outcome.afterMilliseconds === 0 ? ', at once' : `, after ${outcome.afterMilliseconds} ms`
  return `${after}${outcome.retryAfterSeconds === undefined ? '' : `, Retry-After ${outcome.retryAfterSeconds} s`}`
}

function listText (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).map(([name, value]) => `${name} ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`).join(', ')
}

function agesText (ages: Readonly<Record<string, number>>): string {
  return Object.entries(ages).map(([name, milliseconds]) => `${name} ${Math.round(milliseconds)} ms`).join(', ')
}
