/** Generator of histories that keep every promise; tests change these histories to break one. */
import fc from 'fast-check'
import type { GenerationParameters, HistoryEvent, HistoryEventOf } from '../../src/history/index.js'

/** @returns the text of one token in the generated histories */
export function tokenText ({ adapter, prompt, seed }: GenerationParameters, position: number): string {
  return `${adapter}|${prompt}|${seed ?? 0}|${position} `
}

/** @returns the complete response text of a request in the generated histories */
export function answerText (generation: GenerationParameters): string {
  return Array.from({ length: generation.maximumTokens }, (_, position) => tokenText(generation, position)).join('')
}

/** Milliseconds between the starts of two requests. */
const SPACING_MILLISECONDS = 1_000
const SETTINGS_PATH = '/teams/team-0'

/** The properties and the course of one generated request. */
export interface RequestScenario {
  readonly team: number
  readonly versionNamed: boolean
  readonly engine: number
  readonly instance: number
  readonly tokens: number
  readonly kind: 'answered' | 'retried' | 'not-run' | 'lost' | 'cut' | 'sent-again'
}

const scenario: fc.Arbitrary<RequestScenario> = fc.record({
  team: fc.nat(2),
  versionNamed: fc.boolean(),
  engine: fc.nat(2),
  instance: fc.nat(2),
  tokens: fc.integer({ min: 2, max: 5 }),
  kind: fc.constantFrom('answered', 'retried', 'not-run', 'lost', 'cut', 'sent-again')
})

/** Requests at the start of every history, so that each promise has an event by which a test can break it. */
const fixedScenarios: readonly RequestScenario[] = (['answered', 'answered', 'not-run', 'lost', 'cut', 'sent-again'] as const)
  .map((kind, index) => ({ team: index % 3, versionNamed: true, engine: index % 3, instance: 0, tokens: 3, kind }))

/** Histories that keep every promise. Requests start one second apart, and each may overlap the next two. */
export const correctHistory: fc.Arbitrary<HistoryEvent[]> = fc.array(scenario, { maxLength: 12 })
  .map((scenarios) => [...fixedScenarios, ...scenarios].flatMap(eventsOf))
  .map((events) => [...events, ...otherEvents(events)])

function eventsOf (scenario: RequestScenario, index: number): HistoryEvent[] {
  const at = (index + 1) * SPACING_MILLISECONDS
  const request = `r${index}`
  const team = `team-${scenario.team}`
  const loaded = `${team}/adapter@v1`
  const idempotent = scenario.kind === 'retried'
  const sent: HistoryEventOf<'request-sent'> = {
    event: 'request-sent',
    at,
    request,
    team,
    adapter: 'adapter',
    idempotent,
    instance: `instance-${scenario.instance}`,
    prompt: `prompt ${index}`,
    maximumTokens: scenario.tokens,
    ...(scenario.versionNamed ? { version: 'v1' } : {}),
    ...(idempotent ? {} : { key: `key-${index}` })
  }
  const generation: GenerationParameters = { adapter: loaded, prompt: sent.prompt, maximumTokens: scenario.tokens, seed: undefined }
  const parts: HistoryEvent[] = Array.from({ length: scenario.tokens }, (_, position) => (
    { event: 'request-part', at: at + 200 + position * 400, request, position, text: tokenText(generation, position) }))
  const run = (number: number, start: number, result: 'finished' | 'cancelled'): HistoryEvent[] => {
    const own = { endpoint: `engine-${(scenario.engine + number) % 3}`, run: `${request}-${number}`, request: `inner-${index}` }
    return [
      { event: 'order', at: start - 50, endpoint: own.endpoint, order: 'load', name: `${loaded}~7`, token: 7, result: 'done' },
      { event: 'run-started', at: start, ...own, adapter: `${loaded}~7`, prompt: sent.prompt },
      { event: 'run-ended', at: at + 2_500, ...own, result, tokens: scenario.tokens }
    ]
  }
  const end = at + 2_600
  const answered: HistoryEvent = { event: 'request-ended', at: end, request, outcome: 'answered', adapter: `${team}/adapter`, version: 'v1', text: answerText(generation) }
  const unknown: HistoryEvent = { event: 'request-ended', at: end, request, outcome: 'unknown', code: 'endpoint_failed' }
  switch (scenario.kind) {
    case 'answered': return [sent, ...run(0, at + 100, 'finished'), ...parts, answered]
    case 'retried': return [sent, ...run(0, at + 100, 'cancelled'), ...run(1, at + 150, 'finished'), ...parts, answered]
    case 'not-run': return [sent, { event: 'request-ended', at: end, request, outcome: 'not_run', code: 'overloaded' }]
    case 'lost': return [sent, unknown]
    case 'cut': return [sent, ...run(0, at + 100, 'cancelled'), ...parts.slice(0, 1), unknown]
    case 'sent-again': return [
      sent, ...run(0, at + 100, 'finished'), unknown,
      { ...sent, at: end + 10, request: `${request}-again`, instance: 'instance-1' },
      { event: 'request-ended', at: end + 20, request: `${request}-again`, outcome: 'unknown', code: 'key_already_used' }
    ]
  }
}

/** Events besides the requests: unloads after the last use, a leaving engine, a planned stop, settings, and two teams that are served equally. */
function otherEvents (events: readonly HistoryEvent[]): HistoryEvent[] {
  const end = Math.max(...events.map((event) => event.at)) + 100
  const unloads: HistoryEvent[] = [0, 1, 2].map((team) => (
    { event: 'order', at: end, endpoint: 'engine-0', order: 'unload', name: `team-${team}/adapter@v1~7`, token: 7, result: 'done' }))
  const instances: HistoryEvent[] = [0, 1, 2].map((index) => ({ event: 'instance-started', at: 0, instance: `instance-${index}` }))
  const settings = [1, 2, 3].flatMap((revision): HistoryEvent[] => [
    { event: 'settings-accepted', at: revision * SPACING_MILLISECONDS, path: SETTINGS_PATH, revision, digest: `text ${revision}` },
    ...[0, 1, 2].map((index): HistoryEvent => ({
      event: 'settings-in-force', at: revision * SPACING_MILLISECONDS + 300, path: SETTINGS_PATH, revision, instance: `instance-${index}`, digest: `text ${revision}`
    }))
  ])
  return [
    ...instances,
    ...settings,
    ...unloads,
    { event: 'endpoint-leaving', at: end, endpoint: 'engine-2' },
    // The last request sent to this instance is in progress at this time or has ended.
    { event: 'instance-stop-asked', at: end - 150, instance: 'instance-2' },
    ...equalService(end + 10_000)
  ]
}

function equalService (from: number): HistoryEvent[] {
  const teams = ['even-0', 'even-1']
  const spans = (event: 'team-backlog-started' | 'team-backlog-ended', at: number): HistoryEvent[] => teams.map((team) => ({ event, at, team }))
  const requests = Array.from({ length: 6 }, (_, index): HistoryEvent[] => {
    const request = `even-${index}`
    const own = { endpoint: 'engine-0', run: request, request }
    const at = from + 10 + index * 10
    return [
      { event: 'request-sent', at, request, team: teams[index % 2]!, service: 'guide', idempotent: true, instance: 'instance-0', prompt: request },
      { event: 'run-started', at: at + 1, ...own },
      { event: 'run-ended', at: at + 2, ...own, result: 'finished', tokens: 100 },
      { event: 'request-ended', at: at + 3, request, outcome: 'answered', text: request }
    ]
  })
  return [...spans('team-backlog-started', from), ...requests.flat(), ...spans('team-backlog-ended', from + 100)]
}
