// Guards against streams that go on at another software version than the one that began them after all instances were killed, because the load
// owner object of an engine that returned under its id with another version names only one of its versions.
import { describe, expect, it } from 'vitest'
import type { FencingToken } from '@limpetwinch/core'
import type { LoadOwner } from '../src/members/cluster-objects.js'
import { isNamedBy, namesForClaim, namesIn } from '../src/members/engine-names.js'
import type { ServiceName, SoftwareVersion } from '../src/routes/configuration.js'
import { SoftwareVersions } from '../src/streams/software-versions.js'
import { ManualClock } from './support/manual-clock.js'
import { endpoint } from './support/samples.js'

const SERVICE = 'engines' as ServiceName

/** @returns the object after claims of the engine at each of these versions, by owners that take turns; undefined is a version that is not stated */
function claimedAt (...versions: readonly (string | undefined)[]): LoadOwner {
  let owner: LoadOwner | undefined
  for (const [index, version] of versions.entries()) {
    const engine = endpoint('e', { service: SERVICE, softwareVersion: version as SoftwareVersion | undefined })
    owner = { endpoint: engine.id, holder: `host-${index % 2}`, previous: owner?.holder, claimedAt: 0, token: index + 1 as FencingToken, ...namesForClaim(owner, engine) }
  }
  if (owner === undefined) throw new Error('no claim')
  return owner
}

describe('the load owner object of an engine', () => {
  it.each([
    [['v1'], ['v1']], [['v1', 'v1'], ['v1']], [['v1', 'v1.1'], ['v1', 'v1.1']], [['v1', 'v1.1', 'v1'], ['v1', 'v1.1']], [['v1', undefined, 'v1'], ['', 'v1']]
  ])('names all versions that the engine ran: %j', (claims, named) => {
    const versions = new SoftwareVersions(new ManualClock())
    versions.applyLoadOwners([claimedAt(...claims)])
    expect([...versions.known(SERVICE)].toSorted()).toEqual(named)
  })

  it('is outdated as soon as the engine returns with a version that it does not name', () => {
    const owner = claimedAt('v1')
    const at = (version: string): boolean => isNamedBy(owner, endpoint('e', { service: SERVICE, softwareVersion: version as SoftwareVersion }))
    expect([at('v1'), at('v1.1'), namesIn({})]).toEqual([true, false, []])
  })
})
