import { describe, expect, it } from 'vitest'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'

describe('in-memory object store', () => {
  it('accepts one of two concurrent writes and returns the stored value to the other writer', async () => {
    const store = new MemoryObjectStore()
    const first = await store.put({ path: '/a', ifVersion: 0, value: 'first' })
    const second = await store.put({ path: '/a', ifVersion: 0, value: 'second' })
    expect(first._unsafeUnwrap()).toBe(1)
    expect(second._unsafeUnwrapErr()).toMatchObject({ kind: 'version-conflict', details: { version: 1, value: 'first' } })
  })

  it('resolves a waiting watch with the change', async () => {
    const store = new MemoryObjectStore()
    const waiting = store.watch('/a', 0, 5_000)
    await store.put({ path: '/b', ifVersion: 0, value: 1 })
    await store.put({ path: '/a', ifVersion: 0, value: 2 })
    expect((await waiting)._unsafeUnwrap().changes).toEqual([{ path: '/a', version: 1, value: 2 }])
  })
})
