import { afterEach, describe, expect, it } from 'vitest'
import type { SettingsPath } from '@limpetwinch/core'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { document, InterceptedStore, PATH, put, SettingsDeployment, teamText, until, versionAt } from './deployment.js'

describe('settings follower', () => {
  let deployment = new SettingsDeployment()
  afterEach(async () => {
    await deployment.stop()
    deployment = new SettingsDeployment()
  })

  it('never goes back on a stale watch or a stale read', async () => {
    // Revision 2 is in force. The store's watch, served by a lagging copy, brings revision 1 again, and so does a read
    // for the next change. Taken as they come, both would send requests to the former version once more.
    const store = new MemoryObjectStore()
    const stale = new InterceptedStore(store)
    const one = await deployment.start('one', stale)
    await put(one.writer, teamText('v1'), 0)
    const old = store.snapshot().find((object) => object.path.endsWith(PATH))
    await put(one.writer, teamText('v2'), 1)
    const seen: (string | undefined)[] = []
    one.follower.onChange(() => { seen.push(versionAt(one)) })
    let staleSteps = 0
    stale.replaceWatchResult = (step) => {
      staleSteps += 1
      return { ...step, changes: old === undefined ? [] : [old] }
    }
    stale.replaceGetResult = () => old
    const refused = await put(one.writer, teamText('v3'), 1)
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: 'revision-conflict', details: { newest: 2 } })
    await until(() => staleSteps > 2)
    expect(versionAt(one)).toBe('v2')
    expect(seen).toEqual([])
  })

  it('does not take old news from a peer', async () => {
    // A peer that was cut off for long comes back and sends what it has, revision 1, while 3 is in force here.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    for (const [index, version] of ['v1', 'v2', 'v3'].entries()) await put(one.writer, teamText(version), index)
    await until(() => versionAt(two) === 'v3')
    deployment.deliver(two.instance, one.instance, { kind: 'settings-change', documents: [document(1, 'v1')] })
    deployment.deliver(two.instance, one.instance, { kind: 'settings-change', documents: [{ ...document(1, 'v1'), path: '/teams/other' as never }] })
    await until(() => one.follower.current()?.teams.size === 2)
    expect(one.follower.document(PATH)?.revision).toBe(3)
    expect(one.follower.current()?.teams.get('history' as never)?.adapters['poem']?.current).toBe('v3')
  })

  it('starts with the newer state of its peers when the store was restored from a copy', async () => {
    // The store is put back to an hour ago. An instance that is replaced then reads revision 1 from it, while every
    // other has revision 2 in force: requests through the new one would reach the version that operators replaced.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    await put(one.writer, teamText('v1'), 0)
    const copy = store.snapshot()
    await put(one.writer, teamText('v2'), 1)
    store.restore(copy)
    const two = await deployment.start('two', store, { wait: false })
    const seen: (string | undefined)[] = []
    two.follower.onChange(() => { seen.push(versionAt(two)) })
    await until(() => two.follower.current() !== undefined)
    expect(versionAt(two)).toBe('v2')
    expect(seen).toEqual(['v2'])
    expect(versionAt(one)).toBe('v2')
  })

  it('mends a restored store with the next change, on from the highest revision', async () => {
    // The store was restored to revision 1 while 2 is in force. The next change must become 3: as a second revision 2 it
    // would be ignored by every instance that knows the first one.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    await put(one.writer, teamText('v1'), 0)
    const copy = store.snapshot()
    await put(one.writer, teamText('v2'), 1)
    store.restore(copy)
    const accepted = await put(one.writer, teamText('v3'), 2)
    expect(accepted._unsafeUnwrap().revision).toBe(3)
    expect(versionAt(one)).toBe('v3')
    expect(store.snapshot().find((object) => object.path.endsWith(PATH))?.value).toMatchObject({ revision: 3, text: teamText('v3') })
  })

  it('starts from its peers alone when the store is out, and is not ready when nobody answers', async () => {
    // The store is out for an hour and instances are replaced meanwhile. One with peers must serve; one without must
    // say that it is not ready, for it would answer 'unknown team' to everyone.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    await put(one.writer, teamText('v1'), 0)
    store.faults.outage = true
    const two = await deployment.start('two', store)
    expect(versionAt(two)).toBe('v1')
    const alone = await deployment.start('alone', store, { dataCentre: 'south', wait: false })
    const before = store.calls.reads
    await until(() => store.calls.reads > before + 1)
    expect(alone.follower.current()).toBe(undefined)
    store.faults.outage = false
    await until(() => versionAt(alone) === 'v1')
  })

  it('takes a state of many frames from its peers whole', async () => {
    // At size the settings take many frames, and a connection drops what its queue cannot hold. Ready after the last
    // frame of a run whose first were dropped, an instance would answer 'unknown team' for a part of the teams.
    const store = new MemoryObjectStore()
    store.faults.outage = true
    const one = await deployment.start('one', store, { wait: false })
    const paths = Array.from({ length: 20 }, (_, index) => `/teams/team-${index}` as SettingsPath)
    const padding = `// ${'x'.repeat(50_000)}\n`
    for (const path of paths) one.follower.accepted({ ...document(1, 'v1'), path, text: padding + teamText('v1') })
    store.faults.outage = false
    await until(() => one.follower.current() !== undefined)
    store.faults.outage = true
    let dropped = 0
    deployment.drop = (frame) => frame.kind === 'settings-change' && frame.documents.length > 0 && (dropped += 1) === 2
    const two = await deployment.start('two', store)
    expect(dropped).toBeGreaterThan(3)
    expect(two.follower.current()?.teams.size).toBe(paths.length)
  })

  it('sends an edit in place of a large document, and never makes one on another text', async () => {
    // A team's document of 100 KB changes in one version. Sent whole to each peer it would use up the bytes for control;
    // sent as an edit, it must not be made on a peer that lost the change before: the text would be one that nobody wrote.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    const padding = `// ${'x'.repeat(100_000)} \u{1F4DC}\n`
    await put(one.writer, padding + teamText('v1'), 0)
    await until(() => versionAt(two) === 'v1')
    deployment.sent.length = 0
    store.faults.outage = true
    one.follower.accepted({ ...document(2, 'v2'), text: padding + teamText('v2') })
    await until(() => versionAt(two) === 'v2')
    expect(deployment.bytesSent('settings-change')).toBeLessThan(1_000)
    deployment.drop = (frame) => frame.kind === 'settings-change'
    one.follower.accepted({ ...document(3, 'v3'), text: `// one line more\n${padding}${teamText('v3')}` })
    deployment.drop = () => false
    one.follower.accepted({ ...document(4, 'v1'), text: `// one line more\n${padding}${teamText('v1')}` })
    await until(() => two.follower.document(PATH)?.revision === 4)
    expect(two.follower.document(PATH)).toEqual(one.follower.document(PATH))
    expect(versionAt(two)).toBe('v1')
  })

  it('closes a gap that the hashes of heartbeats show', async () => {
    // Two peers lose the frame that carries a change, and neither watches the store. Their next heartbeats differ from
    // the others'; without an exchange they would serve the former version until a restart.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    const three = await deployment.start('three', store)
    const instances = [one, two, three]
    for (const [left, right] of [[one, two], [one, three], [two, three]] as const) deployment.cut(left, right)
    store.faults.outage = true
    await until(() => instances.every((each) => !each.follower.storeReachable()))
    one.follower.accepted(document(1, 'v1'))
    deployment.join()
    await until(() => instances.every((each) => versionAt(each) === 'v1'))
    expect(store.faults.outage).toBe(true)
  })

  it('gives two texts under one revision the same winner everywhere', async () => {
    // After a restore two data centres, cut off from each other, each accept a change and count to the same revision.
    // Joined again, each would keep its own text for good if only larger revisions were taken.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    deployment.cut(one, two)
    one.follower.accepted({ ...document(2, 'v1'), writeId: 'first', acceptedAt: 10 })
    two.follower.accepted({ ...document(2, 'v2'), writeId: 'second', acceptedAt: 11 })
    deployment.join()
    await until(() => versionAt(one) === 'v2')
    expect(versionAt(two)).toBe('v2')
  })
})
