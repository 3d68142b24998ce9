// Guards against requests that begin on an old version of their adapter too late, because the time for it was counted from a later moment than its announcement.
import { silentLogger } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { AdapterVersions } from '../src/cluster-state/adapter-versions.js'
import { key } from './support/samples.js'

const KEY = key('poem')
const SERVES_MILLISECONDS = 5_000

function versionsAt (...announcements: readonly (readonly [version: number, at: number])[]): AdapterVersions {
  const versions = new AdapterVersions(silentLogger(), SERVES_MILLISECONDS)
  versions.apply([], 'store', 0)
  for (const [version, at] of announcements) versions.apply([{ key: KEY, version }], 'store', at)
  return versions
}

describe('the time for which an old version of an adapter may serve', () => {
  it('is counted from the first newer version, also when another one follows', () => {
    const versions = versionsAt([2, 1_000], [3, 3_400])
    expect([1, 2, 3].map((version) => versions.previousServesUntil(KEY, version))).toEqual([6_000, 8_400, undefined])
    expect([1, 2, 3].map((version) => versions.recallsPreviousAt(KEY, version))).toEqual([4_500, 6_900, undefined])
  })

  it('is counted from the begin of a pause of the process, whether the version is learnt before or after the pause is detected', () => {
    const before = versionsAt([2, 9_950])
    before.paused(2_500, 10_000)
    const after = versionsAt()
    after.paused(2_500, 10_000)
    after.apply([{ key: KEY, version: 2 }], 'store', 10_100)
    const earlier = versionsAt([2, 7_000])
    earlier.paused(2_500, 10_000)
    expect([before, after, earlier].map((versions) => versions.previousServesUntil(KEY, 1))).toEqual([12_450, 12_600, 12_000])
  })
})
