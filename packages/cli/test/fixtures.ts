/** Sample responses of the admin API. */

export const STATUS = {
  instance: { instance: '01a2-one', dataCentre: 'north', address: '127.0.0.1:7000' },
  ready: true,
  stopping: false,
  requestsInProgress: 2,
  requestsAtEndpoints: 2,
  members: [
    { instance: '01a2-one', dataCentre: 'north', address: '127.0.0.1:7000', state: 'alive', storeReachable: true },
    { instance: '01a2-two', dataCentre: 'north', address: '127.0.0.1:7001', state: 'suspect', storeReachable: false }
  ],
  leavingEndpoints: ['engine-2'],
  endpoints: [
    {
      endpoint: 'engine-1',
      dataCentre: 'north',
      baseModel: 'base',
      fencing: 'refuses',
      owner: '01a2-one',
      token: 7,
      healthy: true,
      leaving: false,
      queued: 3,
      running: 2,
      slots: 4,
      adapters: ['history/poem@1'],
      owned: { slots: [{ name: 'history/poem@1', state: 'loaded', pins: 2, waiting: 1 }, { state: 'free', pins: 0, waiting: 0 }], wanted: [], runningByTeam: { history: 2 }, batchFill: 0.125 }
    },
    { endpoint: 'engine-2', dataCentre: 'north', baseModel: 'base', fencing: 'ignores', healthy: false, leaving: false, queued: 0, running: 0, slots: 4, adapters: ['history/essay@2~9'] }
  ],
  settings: { paths: 4, teams: 1 },
  frames: { heartbeat: { sent: 10, received: 9, bytesSent: 280, bytesReceived: 252 } },
  storeCalls: { reads: 3, writes: 1, watches: 6, failed: 0 },
  process: { residentBytes: 1 },
  newerField: 'kept'
}

export const HISTOGRAMS = {
  series: [{ team: 'history', class: 'normal', outcomes: { answered: 5, unknown: 1 }, milliseconds: { first_token: { count: 6, p50: 12.34, p95: 20, p99: 30.5, max: 31 } } }]
}

export const EXPLANATION = {
  requestId: 'request-1',
  adapter: 'history/poem@1',
  steps: [
    { at: 1_000, what: 'asked for admission', fields: { endpoint: 'engine-1' } },
    { at: 1_420, what: 'answered whole', fields: { outputTokens: 64 } }
  ]
}
