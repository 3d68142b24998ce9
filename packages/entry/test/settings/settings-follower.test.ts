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

  it('never goes back to an older revision on a stale watch or a stale read', async () => {
    // Guards against stale results of a lagging store replica: while revision 2 is in force, a watch and the read before the
    // next change return revision 1. If it were applied, requests would reach the previous version again.
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

  it('ignores an older revision from a peer', async () => {
    // Guards against an outdated peer: a peer that was cut off for long sends revision 1 while revision 3 is in force.
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

  it('starts with the newer state of its peers when the store was restored from a backup', async () => {
    // Guards against an outdated start: the store is restored from a backup, and a new instance reads revision 1 from it while
    // all others have revision 2 in force. Requests through the new instance would reach the replaced version.
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

  it('updates a restored store with the next change, whose revision follows the highest known one', async () => {
    // Guards against a revision that is assigned twice: the store was restored to revision 1 while revision 2 is in force. If
    // the next change became revision 2 as well, every instance that knows the first one would ignore it.
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

  it('starts from its peers alone during a store outage, and is not ready when neither store nor peer answers', async () => {
    // Guards against instances that fail to start, or start without settings, during an outage of the store. An instance with
    // peers must serve; one without peers must not be ready, as it would refuse every request with 'unknown team'.
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

  it('receives a state of many frames completely before it is ready', async () => {
    // Guards against an incomplete start: large settings take many frames, and a connection drops frames that its queue cannot
    // hold. An instance that became ready after the last frame would answer 'unknown team' for the teams of dropped frames.
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

  it('sends an edit in place of a large document, and never applies it to another text', async () => {
    // Guards against control traffic that grows with the document, and against a corrupt text: one version changes in a document
    // of 100 KB, and only an edit is sent. A peer that lost the previous change must not apply the edit to its older text.
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

  it('closes a gap that the hashes in heartbeats reveal', async () => {
    // Guards against a lost change: two peers lose the frame with a change while the store is out. The hashes in heartbeats
    // differ; without an exchange, these peers would serve the previous version until a restart.
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

  it('selects the same one of two texts with the same revision on all instances', async () => {
    // Guards against texts that differ forever: after a restore, two instances that are cut off from each other accept changes
    // under the same revision. If only larger revisions were applied, each would keep its own text after they reconnect.
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
