/** The teams of a run: one whose key stays, one whose keys are taken away, and one that sends more than its quota. */
import type { SeededRandom } from '@limpetwinch/load'
import type { SampleTeam } from '@limpetwinch/platform'

/** Time after which a key that was taken away opens nothing, at any instance. */
export const REVOCATION_MILLISECONDS = 5_000
/** Window in which the quota must hold, and the allowed excess as a part of the quota. */
export const QUOTA_WINDOW_MILLISECONDS = 8_000
export const QUOTA_TOLERANCE = 0.1
/** Rate and burst of the team that floods; a request of a plain route costs 100 tokens. */
export const QUOTA_TOKENS_PER_SECOND = 1_000
export const PLAIN_TOKENS = 100

/** Settings of the instances that hold for teams. */
export const TEAM_BOUNDS = {
  StrictRevoke: true, RevokeMs: REVOCATION_MILLISECONDS, QuotaWindowS: QUOTA_WINDOW_MILLISECONDS / 1_000, QuotaOver: QUOTA_TOLERANCE, QuotaSlack: 0
}

const GUEST_KEYS = 12
/** Part of the usual requests that are sent with a key that may be taken away. */
const GUEST_SHARE = 0.25

/** Keys of one run. */
export class SoakTeams {
  readonly floodingKey = 'key-flooding'
  readonly steadyKey = 'key-steady'
  private readonly guestKeys = Array.from({ length: GUEST_KEYS }, (_, index) => `key-guest-${index}`)
  private readonly revoked = new Set<string>()

  /** @returns the teams with the keys that are valid now */
  current (): readonly SampleTeam[] {
    return [
      { name: 'steady', keys: [this.steadyKey] },
      { name: 'guests', keys: this.guestKeys.filter((key) => !this.revoked.has(key)) },
      { name: 'flooding', keys: [this.floodingKey], tokensPerSecond: QUOTA_TOKENS_PER_SECOND }
    ]
  }

  /** @returns the key of a usual request, which may have been taken away */
  keyOf (random: SeededRandom): string {
    return random.between(0, 1_000) < GUEST_SHARE * 1_000 ? random.pick(this.guestKeys) : this.steadyKey
  }

  /** @returns the name of the team that has, or had, the key */
  teamOf (key: string): string {
    return key.split('-')[1] === 'guest' ? 'guests' : key.slice('key-'.length)
  }

  /** Takes a key away. @returns the key; undefined when none is left */
  revoke (random: SeededRandom): string | undefined {
    const valid = this.guestKeys.filter((key) => !this.revoked.has(key))
    if (valid.length === 0) return undefined
    const key = random.pick(valid)
    this.revoked.add(key)
    return key
  }
}
