import { afterEach, describe, expect, it } from 'vitest'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { InterceptedStore, PATH, put, SettingsDeployment, teamText, until, versionAt } from './deployment.js'

describe('settings writer', () => {
  let deployment = new SettingsDeployment()
  afterEach(async () => {
    await deployment.stop()
    deployment = new SettingsDeployment()
  })

  it('puts a change in force here at once and on the peers after it', async () => {
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    const accepted = (await put(one.writer, teamText('v1'), 0))._unsafeUnwrap()
    expect(accepted.revision).toBe(1)
    expect(versionAt(one)).toBe('v1')
    await until(() => versionAt(two) === 'v1')
  })

  it('lets one of two racing operators win and shows the other the newer revision', async () => {
    // Two operators change revision 1 through two instances at the same moment. Both instances read revision 1 from the
    // store, and both writes would fit it. One is refused with the winner's text, and what the winner wrote stays: a
    // write without the store's condition would silently drop the first operator's change.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    await put(one.writer, teamText('v1'), 0)
    await until(() => versionAt(two) === 'v1')
    const results = await Promise.all([put(one.writer, teamText('v2'), 1), put(two.writer, teamText('v3'), 1)])
    const winner = results.find((result) => result.isOk())?._unsafeUnwrap()
    const loser = results.find((result) => result.isErr())?._unsafeUnwrapErr()
    expect(winner?.revision).toBe(2)
    expect(loser).toMatchObject({ kind: 'revision-conflict', details: { newest: 2, text: winner?.text } })
    await until(() => one.follower.settingsHash() === two.follower.settingsHash())
    expect(one.follower.document(PATH)?.text).toBe(winner?.text)
  })

  it('reads back a write whose answer was lost, and writes it only once', async () => {
    // The store carries the write out and its answer is lost. Told 'failed', the operator would repeat the change on an
    // old revision; a second write would make revision 2 of one change. The write's own id in the store proves it.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    store.faults.loseAnswers = 1
    const accepted = (await put(one.writer, teamText('v1'), 0))._unsafeUnwrap()
    expect(accepted.revision).toBe(1)
    expect(store.calls.writes).toBe(1)
    expect(store.snapshot().map((object) => object.version)).toEqual([1])
    expect(versionAt(one)).toBe('v1')
  })

  it('settles a write that is still on its way when its answer is given up', async () => {
    // The connection is lost before the write has reached the store, and a read back shows nothing. Called accepted, the
    // change would be in force nowhere else; called refused, it would still arrive. The same write again decides: the
    // late copy names a version that is gone.
    const store = new MemoryObjectStore()
    const slow = new InterceptedStore(store)
    const one = await deployment.start('one', slow)
    slow.writesToLose = 1
    expect((await put(one.writer, teamText('v1'), 0))._unsafeUnwrap().revision).toBe(1)
    expect(store.snapshot().map((object) => object.value)).toMatchObject([{ revision: 1, text: teamText('v1') }])
    await put(one.writer, teamText('v2'), 1)
    const [late] = slow.lostWrites
    expect((await store.put(late!))._unsafeUnwrapErr().kind).toBe('version-conflict')
    expect(store.snapshot().find((object) => object.path.endsWith(`/settings${PATH}`))?.value).toMatchObject({ revision: 2, text: teamText('v2') })
  })

  it('says that it does not know when nothing can be read back', async () => {
    // The answer is lost and the store goes out in the same moment. The change may have been accepted: neither answer
    // would be true, and it must not be in force here on a guess.
    const store = new MemoryObjectStore()
    const slow = new InterceptedStore(store)
    const one = await deployment.start('one', slow)
    slow.writesToLose = 1
    slow.beforeGet = async () => { store.faults.outage = slow.lostWrites.length > 0 }
    const unknown = (await put(one.writer, teamText('v1'), 0))._unsafeUnwrapErr()
    expect(unknown).toMatchObject({ kind: 'store-answer-lost', outcome: 'unknown' })
    expect(versionAt(one)).toBe(undefined)
  })

  it('finds a write whose answer was lost also when another has replaced it since', async () => {
    // The answer to one operator's write is lost, and before it is read back a second operator writes on top. The store
    // shows only the second write; the history, kept before each replacement, shows that the first was accepted.
    const store = new MemoryObjectStore()
    const slowReads = new InterceptedStore(store)
    const one = await deployment.start('one', slowReads)
    const two = await deployment.start('two', store)
    await put(one.writer, teamText('v1'), 0)
    slowReads.beforeGet = async () => {
      const written = store.snapshot().some((object) => object.path.endsWith(PATH) && object.version === 2)
      if (written) await put(two.writer, teamText('v3'), 2)
    }
    store.faults.loseAnswers = 2
    const first = await put(one.writer, teamText('v2'), 1)
    expect(first._unsafeUnwrap().revision).toBe(2)
    await until(() => versionAt(one) === 'v3')
  })
})
