import { describe, expect, it, vi } from 'vitest'
import { runClosedLoop } from '../../src/driving/closed-loop.js'
import { LoadMetrics } from '../../src/driving/load-metrics.js'
import { runOpenLoop } from '../../src/driving/open-loop.js'
import { RequestDriver } from '../../src/driving/request-driver.js'
import type { HistoryEvent } from '../../src/history/index.js'
import { LoadTarget } from '../../src/targets/load-target.js'
import type { LoadEnd, LoadRequest } from '../../src/targets/load-target.js'
import type { TraceLine } from '../../src/trace/trace.js'

class HeldTarget extends LoadTarget {
  override readonly name = 'held'
  readonly release: (() => void)[] = []
  highest = 0
  private open = 0

  override async send (request: LoadRequest, onText: (text: string) => void): Promise<LoadEnd> {
    this.open += 1
    this.highest = Math.max(this.highest, this.open)
    await new Promise<void>((resolve) => { this.release.push(resolve) })
    this.open -= 1
    onText('a')
    onText(' b')
    if (request.adapter === 'failing') return { outcome: 'unknown', code: 'connection-lost' }
    return { outcome: 'answered', adapter: `${request.team}/${request.adapter}`, version: '1' }
  }

  override async close (): Promise<void> {}
}

function line (at: number, adapter = 'poet'): TraceLine {
  return { at_ms: at, team: 'team', adapter, class: 'normal', prompt_tokens: 4, output_tokens: 2, idempotent: true }
}

describe('open loop', () => {
  // Guards against a load tool that waits for a stalled target before it sends the next request. Real callers do not
  // wait for each other; a tool that waits sends less load during the stall and so hides the stall.
  it('keeps sending while earlier requests stall, and records metrics and history', async () => {
    const target = new HeldTarget()
    const metrics = new LoadMetrics()
    const events: HistoryEvent[] = []
    const done = runOpenLoop([line(0), line(1), line(2, 'failing')], [target], new RequestDriver(metrics, (event) => events.push(event)))
    await vi.waitFor(() => expect(target.release).toHaveLength(3))
    for (const release of target.release) release()
    await done
    expect(metrics.summary()).toMatchObject({
      requests: 3, tokens: 6, outcomes: { answered: 2, unknown: 1 }, codes: { 'connection-lost': 1 }, firstToken: { count: 3 }, whole: { count: 2 }
    })
    const first = events.filter((event) => 'request' in event && 'request' in events[0]! && event.request === events[0].request)
    expect(first).toMatchObject([
      { event: 'request-sent', team: 'team', adapter: 'poet', instance: 'held', seed: 1, maximumTokens: 2 },
      { event: 'request-part', position: 0, text: 'a' },
      { event: 'request-part', position: 1, text: ' b' },
      { event: 'request-ended', outcome: 'answered', adapter: 'team/poet', version: '1' }
    ])
  })

  it('measures times from the time at which a request was due', async () => {
    const target = new HeldTarget()
    const metrics = new LoadMetrics()
    const driver = new RequestDriver(metrics, undefined)
    const done = driver.drive(target, { id: 'r', team: 't', adapter: 'a', version: undefined, priorityClass: 'normal', prompt: '', maximumTokens: 2, seed: 1, idempotent: true, key: undefined }, performance.now() - 60_000)
    target.release[0]?.()
    await done
    const { lateness, firstToken, whole } = metrics.summary()
    expect(Math.min(lateness.p50, firstToken.p50, whole.p50)).toBeGreaterThanOrEqual(59_900)
  })
})

describe('closed loop', () => {
  it('keeps as many requests open as there are callers', async () => {
    const target = new HeldTarget()
    const done = runClosedLoop({ callers: 4, seconds: 0.2, lines: [line(0)] }, target, new RequestDriver(new LoadMetrics(), undefined))
    await vi.waitFor(() => expect(target.release.length).toBeGreaterThanOrEqual(4))
    const releasing = setInterval(() => target.release.splice(0).forEach((release) => release()), 1)
    await done
    clearInterval(releasing)
    expect(target.highest).toBe(4)
  })
})
