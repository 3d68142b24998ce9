// Guards against requests to an endpoint that has said in a response that it is leaving: its entry says that it is ready, lapses and comes back, another
// instance hears of it, or another endpoint answers at its address.
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, EndpointLeavingFrame, InstanceId } from '@limpetwinch/core'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import { LeavingNotices } from '../src/endpoints/leaving-notices.js'
import type { ServiceName } from '../src/routes/configuration.js'
import { endpoint, responseFacts } from './support/samples.js'

const ENDPOINT = endpoint('a', { born: 100, statement: 1 })

function underTest (): { readonly directory: EndpointDirectory, readonly notices: LeavingNotices, readonly sent: EndpointLeavingFrame[] } {
  const directory = new EndpointDirectory(silentLogger())
  directory.apply({ revision: 1, endpoints: [ENDPOINT] }, undefined, 0)
  const sent: EndpointLeavingFrame[] = []
  return { directory, sent, notices: new LeavingNotices({ self: 'here' as InstanceId, directory, broadcast: (frame) => { sent.push(frame) } }) }
}

function isUsed (directory: EndpointDirectory): boolean {
  return directory.servable('guide' as ServiceName).length > 0
}

describe('an endpoint that says in a response that it is leaving', () => {
  it('gets nothing more, and others are told once', () => {
    const { directory, notices, sent } = underTest()
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true }))
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true }))
    expect([isUsed(directory), sent]).toEqual([false, [{ kind: 'endpoint-leaving', endpoint: 'a', born: 100 }]])
  })

  it('gets nothing although its entry says that it is ready, or lapses and is written again', () => {
    const { directory, notices } = underTest()
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true }))
    directory.apply({ revision: 2, endpoints: [endpoint('a', { born: 100, statement: 2 })] }, undefined, 0)
    expect(isUsed(directory)).toBe(false)
    directory.expire(500)
    directory.apply({ revision: 3, endpoints: [] }, undefined, 1_000)
    directory.apply({ revision: 4, endpoints: [endpoint('a', { born: 100, statement: 3 })] }, undefined, 3_000)
    expect(isUsed(directory)).toBe(false)
  })

  it('is forgotten a minute after its entry has gone', () => {
    const { directory, notices } = underTest()
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true }))
    directory.apply({ revision: 2, endpoints: [] }, undefined, 1_000)
    directory.expire(1_000)
    directory.expire(60_000)
    expect(directory.saidLeaving().length).toBe(1)
    directory.expire(61_001)
    expect(directory.saidLeaving().length).toBe(0)
  })

  it('is used again once it has started again', () => {
    const { directory, notices } = underTest()
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true }))
    directory.apply({ revision: 2, endpoints: [endpoint('a', { born: 200, statement: 1 })] }, undefined, 0)
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true }))
    expect(isUsed(directory)).toBe(true)
  })

  it.each([
    ['a signed response', { signed: true }, false],
    ['a refusal for want of room', { signed: false, notRun: true, isFull: true }, false],
    ['a refusal that names the endpoint', { signed: false, notRun: true, answeredBy: 'a' }, false],
    ['a refusal that names nobody, as of an endpoint that the request was not meant for', { signed: false, notRun: true }, true],
    ['a response that names another endpoint', { signed: true, answeredBy: 'b' }, true]
  ])('says so by %s', (_what, facts, used) => {
    const { directory, notices } = underTest()
    notices.recordResponse(ENDPOINT, responseFacts({ isLeaving: true, ...facts }))
    expect(isUsed(directory)).toBe(used)
  })

  it('gets nothing from an instance that hears of it, unless it has started again since', () => {
    const [{ directory }, later] = [underTest(), underTest()]
    expect(directory.markLeaving('a' as EndpointId, 100, 'peer')).toBe(true)
    expect(later.directory.markLeaving('a' as EndpointId, 50, 'peer')).toBe(false)
    expect([isUsed(directory), isUsed(later.directory)]).toEqual([false, true])
  })
})
