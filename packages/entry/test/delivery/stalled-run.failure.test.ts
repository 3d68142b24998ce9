import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { HttpEngineClient, LimpetwinchError, SystemClock } from '@limpetwinch/core'
import type { EndpointId, EngineSettings, FencingToken, LoadedName } from '@limpetwinch/core'
import type { DeliveryEvent, DeliveryOptions, DeliveryRequest } from '@limpetwinch/entry'
import { Delivery } from '@limpetwinch/entry'
import { expectedAnswer, StandInEngine } from '@limpetwinch/stand-ins'

const ADAPTER = { team: 'history', adapter: 'essays', version: 'v1' }
const NAME = 'history/essays@v1' as LoadedName
const TOKENS = 40
const COMPLETE_RESPONSE = expectedAnswer({ adapter: NAME, prompt: 'Why?', seed: 7 }, TOKENS)
const IDLE_TIMEOUT_MILLISECONDS = 100
const WAIT = { timeout: 20_000, interval: 10 }

/** Several engines, tried in order. The test controls their admissions and the retry budget. */
class Engines {
  readonly engines: StandInEngine[] = []
  readonly clients: HttpEngineClient[] = []
  readonly asked: string[] = []
  readonly ended: string[] = []
  /** The results reported to the routing policy. */
  readonly observed: string[] = []
  readonly texts: string[] = []
  last: DeliveryEvent | undefined
  mayRetry = true
  /** @returns whether an endpoint admits the request now */
  admits: (endpoint: string, signal: AbortSignal) => Promise<Result<void, LimpetwinchError>> = async () => ok()
  private readonly clock = new SystemClock()

  async start (count: number): Promise<void> {
    for (let number = 0; number < count; number += 1) {
      const engine = new StandInEngine({ name: `engine-${number}`, stepMilliseconds: 10, loadMilliseconds: 1 })
      const client = new HttpEngineClient(`engine-${number}` as EndpointId, await engine.listen())
      this.engines.push(engine)
      this.clients.push(client)
      const loaded = await client.load({ name: NAME, token: 1 as FencingToken }, ADAPTER as never)
      expect(loaded.isOk()).toBe(true)
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.clients.map(async (client) => await client.close()))
    await Promise.all(this.engines.map(async (engine) => await engine.close()))
  }

  /** Delivers one request, and records its texts and its last event as they arrive. */
  async deliver (idempotent: boolean, patience: number, signal = new AbortController().signal): Promise<void> {
    const request = {
      requestId: 'request-1',
      adapter: ADAPTER,
      adapterName: NAME,
      baseModel: 'base-1',
      priority: 5,
      prompt: 'Why?',
      promptTokens: 2,
      maximumTokens: TOKENS,
      seed: 7,
      temperature: undefined,
      idempotent,
      deadlineAt: this.clock.now() + patience
    }
    const settings = { policy: { longestRequestSeconds: 60 } }
    for await (const event of new Delivery(this.options()).deliver(request as unknown as DeliveryRequest, settings as never, signal)) {
      this.last = event
      if (event.kind === 'text') this.texts.push(event.text)
    }
  }

  /** Makes the first engine unresponsive after so many tokens, while its run continues. */
  async makeUnresponsiveAfter (tokens: number): Promise<void> {
    await vi.waitFor(() => expect(this.texts.length).toBeGreaterThanOrEqual(tokens), WAIT)
    this.engines[0]?.setFaults({ silenceConnections: true, silentConnections: 1_000 })
  }

  runsOf (number: number): number {
    return this.engines[number]?.history.all().filter((event) => event.event === 'run-started').length ?? 0
  }

  private options (): DeliveryOptions {
    return {
      router: { route: ({ avoid }: { avoid: ReadonlySet<EndpointId> }) => ok({ engine: { endpoint: this.choose(avoid) }, owner: 'one' }), isLeaving: () => false },
      admissions: { requestAdmission: async (route: { engine: EngineSettings }, _: unknown, signal: AbortSignal) => await this.admit(route.engine.endpoint, signal) },
      directory: { sent: () => undefined, setOwner: () => undefined },
      prefixes: { sent: () => undefined },
      clientOf: ({ endpoint }: EngineSettings) => this.clients[Number(endpoint.split('-')[1])],
      policy: () => ({ observe: (endpoint: EndpointId, result: string) => this.observed.push(`${endpoint} ${result}`) }),
      explain: { begin: () => ({ add: () => undefined }) },
      retryBudget: { deposit: () => undefined, withdraw: () => this.mayRetry },
      streamLimits: { idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS, resumesWithoutProgress: 1 },
      shareUsed: () => 1,
      clock: this.clock
    } as unknown as DeliveryOptions
  }

  /** Chooses an engine as the router does: an avoided engine is used if there is no other. */
  private choose (avoid: ReadonlySet<EndpointId>): EndpointId {
    const ids = this.engines.map((_, number) => `engine-${number}` as EndpointId)
    return ids.find((id) => !avoid.has(id)) ?? ids[0] ?? '' as EndpointId
  }

  private async admit (endpoint: EndpointId, signal: AbortSignal): Promise<Result<unknown, LimpetwinchError>> {
    this.asked.push(endpoint)
    const admitted = await this.admits(endpoint, signal)
    return admitted.map(() => ({ endpoint, loadedName: NAME, grant: { loadStall: 0, queueWait: 0 }, done: (outcome: string) => this.ended.push(`${endpoint} ${outcome}`) }))
  }
}

const started: Engines[] = []

async function start (count: number): Promise<Engines> {
  const engines = new Engines()
  started.push(engines)
  await engines.start(count)
  return engines
}

afterEach(async () => { await Promise.all(started.splice(0).map(async (engines) => await engines.stop())) })

describe('a run whose engine becomes unresponsive', () => {
  // Guards against ending a run whose engine is unresponsive for a while, although no other engine can replace it.
  it('is kept while there is no other engine', async () => {
    const engines = await start(1)
    const delivered = engines.deliver(true, 30_000)
    await engines.makeUnresponsiveAfter(5)
    await new Promise((resolve) => setTimeout(resolve, 10 * IDLE_TIMEOUT_MILLISECONDS))
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.engines[0]?.calls).toMatchObject({ generate: 1, cancel: 0 })
  })

  // Guards against ending a run whose engine is unresponsive for a while, although the retry budget allows no other run.
  it('is kept while the retry budget is used up', async () => {
    const engines = await start(2)
    engines.mayRetry = false
    const delivered = engines.deliver(true, 30_000)
    await engines.makeUnresponsiveAfter(5)
    await new Promise((resolve) => setTimeout(resolve, 10 * IDLE_TIMEOUT_MILLISECONDS))
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.asked).toEqual(['engine-0'])
  })

  // Guards against the outcome `unknown` for a request that may run only once, while its run continues and no other engine
  // may run it.
  it('is kept when the request may run only once', async () => {
    const engines = await start(2)
    const delivered = engines.deliver(false, 30_000)
    await engines.makeUnresponsiveAfter(5)
    await new Promise((resolve) => setTimeout(resolve, 10 * IDLE_TIMEOUT_MILLISECONDS))
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    expect([engines.runsOf(0), engines.runsOf(1)]).toEqual([1, 0])
    expect(engines.asked).toEqual(['engine-0'])
  })

  // Guards against abandoning a run before its replacement is secured, and against a search that ends at the first refusal.
  // The second engine admits the request at the third attempt, and the caller gets each word once.
  it('is replaced once another engine has admitted the request', async () => {
    const engines = await start(2)
    engines.admits = async (endpoint) => {
      if (endpoint === 'engine-0' || engines.asked.length > 3) return ok()
      return err(new LimpetwinchError('overloaded', { reason: 'the queue is full' }, { retryAfterSeconds: 1 }))
    }
    const delivered = engines.deliver(true, 30_000)
    await engines.makeUnresponsiveAfter(5)
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.asked).toEqual(['engine-0', 'engine-1', 'engine-1', 'engine-1'])
    expect(engines.ended).toContain('engine-1 answered')
    // The abandoned run is ended as soon as its engine responds again, and its adapter stays pinned until then.
    expect(engines.ended).not.toContain('engine-0 failed')
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await vi.waitFor(() => expect(engines.ended).toContain('engine-0 failed'), WAIT)
    expect(engines.engines[0]?.calls.cancel).toBeGreaterThan(0)
  })

  // Guards against a replacement admission that is kept after the stalled run has recovered, which would occupy a place and a
  // pin at the other engine.
  it('cancels the admission request for a replacement when the run recovers', async () => {
    const engines = await start(2)
    engines.admits = async (endpoint, signal) => {
      if (endpoint === 'engine-1') await new Promise((resolve) => { signal.addEventListener('abort', resolve) })
      return ok()
    }
    const delivered = engines.deliver(true, 30_000)
    await engines.makeUnresponsiveAfter(5)
    await vi.waitFor(() => expect(engines.asked).toHaveLength(2), WAIT)
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    await vi.waitFor(() => expect(engines.ended.toSorted()).toEqual(['engine-0 answered', 'engine-1 withdrawn']), WAIT)
    expect([engines.runsOf(0), engines.runsOf(1)]).toEqual([1, 0])
  })

  // Guards against ejecting an engine as failing only because callers disconnected, which would leave other requests without
  // a working engine.
  it('does not count as a failure of its engine when the caller leaves', async () => {
    const engines = await start(1)
    const caller = new AbortController()
    const delivered = engines.deliver(true, 30_000, caller.signal)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    caller.abort()
    await delivered
    expect(engines.observed).toEqual([])
    await vi.waitFor(() => expect(engines.ended).toEqual(['engine-0 failed']), WAIT)
  })

  // Guards against a run that continues for ever after its deadline, when no caller waits for it. The caller gets the error
  // `deadline-passed` with outcome `unknown`.
  it('is ended at the deadline', async () => {
    const engines = await start(1)
    const delivered = engines.deliver(true, 2_000)
    await engines.makeUnresponsiveAfter(5)
    await delivered
    expect(engines.last).toMatchObject({ kind: 'error', error: { kind: 'deadline-passed', outcome: 'unknown' } })
    engines.engines[0]?.setFaults({ silentConnections: 0 })
    await vi.waitFor(() => expect(engines.ended).toEqual(['engine-0 failed']), WAIT)
    expect(engines.engines[0]?.calls.cancel).toBeGreaterThan(0)
  })
})

describe('a run that its engine has lost', () => {
  // Guards against a search for another engine that ends at the first refusal although the request has time left. The caller
  // has read a part of the response and gets the rest, each word once.
  it('is started again once another engine admits it, after refusals', async () => {
    const engines = await start(2)
    engines.admits = async (endpoint) => {
      if (endpoint === 'engine-0' || engines.asked.length > 3) return ok()
      return err(new LimpetwinchError('overloaded', { reason: 'the queue is full' }, { retryAfterSeconds: 1 }))
    }
    const delivered = engines.deliver(true, 30_000)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    engines.engines[0]?.restart()
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    expect(engines.last?.kind).toBe('end')
    expect(engines.asked).toEqual(['engine-0', 'engine-1', 'engine-1', 'engine-1'])
  })

  // Guards against a truncated response because the retry budget was used up at the moment of the loss.
  it('waits until the retry budget allows another run', async () => {
    const engines = await start(2)
    engines.mayRetry = false
    const delivered = engines.deliver(true, 30_000)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    engines.engines[0]?.restart()
    await new Promise((resolve) => setTimeout(resolve, 1_000))
    expect(engines.asked).toEqual(['engine-0'])
    engines.mayRetry = true
    await delivered
    expect(engines.texts.join('')).toBe(COMPLETE_RESPONSE)
    expect(engines.last?.kind).toBe('end')
  })

  // Guards against a useless search for another engine when a request may run only once. The caller gets the outcome
  // `unknown` at once.
  it('fails at once when it may run only once', async () => {
    const engines = await start(2)
    const delivered = engines.deliver(false, 30_000)
    await vi.waitFor(() => expect(engines.texts.length).toBeGreaterThanOrEqual(5), WAIT)
    engines.engines[0]?.restart()
    await delivered
    expect(engines.last).toMatchObject({ kind: 'error', error: { kind: 'endpoint-failed', outcome: 'unknown' } })
    expect(engines.asked).toEqual(['engine-0'])
  })
})
