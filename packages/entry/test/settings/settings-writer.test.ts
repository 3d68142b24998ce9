import { afterEach, describe, expect, it } from 'vitest'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { InterceptedStore, PATH, put, SettingsDeployment, teamText, until, versionAt } from './deployment.js'

describe('settings writer', () => {
  let deployment = new SettingsDeployment()
  afterEach(async () => {
    await deployment.stop()
    deployment = new SettingsDeployment()
  })

  it('puts a change in force on its own instance at once and then on the peers', async () => {
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    const two = await deployment.start('two', store)
    const accepted = (await put(one.writer, teamText('v1'), 0))._unsafeUnwrap()
    expect(accepted.revision).toBe(1)
    expect(versionAt(one)).toBe('v1')
    await until(() => versionAt(two) === 'v1')
  })

  it('lets one of two racing operators win and shows the other the newer revision', async () => {
    // Guards against a lost update: two operators change revision 1 through two instances at the same time, and both instances
    // read revision 1 from the store. Without the condition of the store, the second write would silently replace the first.
    // With it, the second operator receives a conflict with the winner's text.
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
    // Guards against a change that is reported as failed or applied twice: the store performs the write and the answer is lost.
    // The write id that is read back from the store proves that the write took effect.
    const store = new MemoryObjectStore()
    const one = await deployment.start('one', store)
    store.faults.loseAnswers = 1
    const accepted = (await put(one.writer, teamText('v1'), 0))._unsafeUnwrap()
    expect(accepted.revision).toBe(1)
    expect(store.calls.writes).toBe(1)
    expect(store.snapshot().map((object) => object.version)).toEqual([1])
    expect(versionAt(one)).toBe('v1')
  })

  it('resolves a write that arrives at the store after its answer was considered lost', async () => {
    // Guards against a write with an undefined result: the connection is lost before the write reaches the store, and reading
    // back shows nothing. A change reported as accepted might be nowhere in the store, and one reported as refused might still
    // arrive. Sending the same write again decides: the late copy is conditional on a version that no longer exists.
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

  it('reports an unknown outcome when nothing can be read back', async () => {
    // Guards against a guess: the answer to a write is lost and the store fails at the same time, so the change may or may not
    // have been accepted. It must not come into force on the instance.
    const store = new MemoryObjectStore()
    const slow = new InterceptedStore(store)
    const one = await deployment.start('one', slow)
    slow.writesToLose = 1
    slow.beforeGet = async () => { store.faults.outage = slow.lostWrites.length > 0 }
    const unknown = (await put(one.writer, teamText('v1'), 0))._unsafeUnwrapErr()
    expect(unknown).toMatchObject({ kind: 'store-answer-lost', outcome: 'unknown' })
    expect(versionAt(one)).toBe(undefined)
  })

  it('finds a write whose answer was lost even when another write has replaced it', async () => {
    // Guards against an accepted change that is reported as a conflict: the answer to a write is lost, and a second operator
    // replaces the document before it is read back. The store shows only the second write; the history contains the first one.
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
