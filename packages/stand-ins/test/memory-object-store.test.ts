import { describe, expect, it } from 'vitest'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'

describe('object store in memory', () => {
  it('lets one of two racing writers win and shows the other what won', async () => {
    const store = new MemoryObjectStore()
    const first = await store.put({ path: '/a', ifVersion: 0, value: 'first' })
    const second = await store.put({ path: '/a', ifVersion: 0, value: 'second' })
    expect(first._unsafeUnwrap()).toBe(1)
    expect(second._unsafeUnwrapErr()).toMatchObject({ kind: 'version-conflict', details: { version: 1, value: 'first' } })
  })

  it('wakes a waiting watch with the change', async () => {
    const store = new MemoryObjectStore()
    const waiting = store.watch('/a', 0, 5_000)
    await store.put({ path: '/b', ifVersion: 0, value: 1 })
    await store.put({ path: '/a', ifVersion: 0, value: 2 })
    expect((await waiting)._unsafeUnwrap().changes).toEqual([{ path: '/a', version: 1, value: 2 }])
  })
})
