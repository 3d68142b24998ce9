// Guards against a team over its quota, or refused below it, over all instances of a fleet: a flood starts everywhere at once, the quota
// owner is killed, a data centre is cut off, and limits change. No network: the connections between the instances are simulated.
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { FrameOf, InstanceId, TeamId } from '@limpetwinch/core'
import type { TeamQuota } from '../src/routes/configuration.js'
import { QuotaClient } from '../src/quotas/quota-client.js'
import { QuotaDivision } from '../src/quotas/quota-division.js'
import { QuotaOwners } from '../src/quotas/quota-owners.js'
import { capacityOf, rateOfTeam, TeamQuotas } from '../src/teams/team-quotas.js'
import { ManualClock } from './support/manual-clock.js'
import { SimulatedNetwork } from './support/simulated-links.js'
import type { SimulatedInstance } from './support/simulated-links.js'

const TEAM = 'athletics' as TeamId
const SETTINGS = { windowMilliseconds: 8_000, toleranceShare: 0.1, toleranceUnits: 7_200 }
const QUOTA: TeamQuota = { unit: 'tokens', ratePerSecond: 20_000, burst: 20_000, tokensWhenUnstated: 200 }
const COST = 900
const STEP_MILLISECONDS = 10
const MAINTENANCE_MILLISECONDS = 250
const DATA_CENTRES = 3
const PER_DATA_CENTRE = 10

interface QuotaInstance {
  readonly simulated: SimulatedInstance
  readonly client: QuotaClient<TeamId>
  readonly division: QuotaDivision<TeamId>
}

/** A fleet whose instances admit requests of one team. */
class QuotaFleet {
  readonly clock = new ManualClock()
  readonly network = new SimulatedNetwork(this.clock)
  instances: QuotaInstance[] = []
  quota = QUOTA
  /** Times and costs of the requests that were admitted. */
  readonly used: { readonly at: number, readonly cost: number }[] = []
  asked = 0

  constructor () {
    this.network.start(DATA_CENTRES, PER_DATA_CENTRE)
    this.instances = this.network.instances.map((each) => this.equip(each))
  }

  /** Sends requests of the team to the instances in turn for some time. */
  async send (perSecond: number, milliseconds: number): Promise<void> {
    let due = 0
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      due += perSecond * STEP_MILLISECONDS / 1_000
      for (; due >= 1; due--) this.request(this.instances[this.asked % this.instances.length] as QuotaInstance)
      if (passed % MAINTENANCE_MILLISECONDS === 0) this.maintain()
      await this.clock.advance(STEP_MILLISECONDS)
    }
  }

  /** Lets time pass without requests. */
  async rest (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += MAINTENANCE_MILLISECONDS) {
      this.maintain()
      await this.clock.advance(MAINTENANCE_MILLISECONDS)
    }
  }

  private maintain (): void {
    for (const { client, division } of this.instances) {
      client.releaseIdle()
      division.maintain()
    }
  }

  /** @returns the most tokens that were used in any window */
  get mostInWindow (): number {
    return Math.max(...this.used.map(({ at }) => this.usedBetween(at, at + SETTINGS.windowMilliseconds)))
  }

  usedBetween (from: number, to: number): number {
    return this.used.reduce((sum, { at, cost }) => at >= from && at < to ? sum + cost : sum, 0)
  }

  ownerOf (): QuotaInstance {
    return this.instances.find(({ simulated }) => simulated.member.instance === this.owner(this.instances[0] as QuotaInstance)) as QuotaInstance
  }

  kill (killed: QuotaInstance): void {
    this.network.kill(killed.simulated)
    this.instances = this.instances.filter((each) => each !== killed)
  }

  get bound (): number {
    const { ratePerSecond, burst } = QUOTA
    return (ratePerSecond * SETTINGS.windowMilliseconds / 1_000 + burst) * (1 + SETTINGS.toleranceShare) + SETTINGS.toleranceUnits
  }

  private owner ({ simulated }: QuotaInstance): InstanceId {
    return new QuotaOwners({ self: simulated.member.instance, clock: this.clock, candidates: () => simulated.overlay.usableHubs() }).ownerOf(TEAM)
  }

  private request ({ client }: QuotaInstance): void {
    this.asked += 1
    void client.take(TEAM, this.quota, { cost: COST }, 600).then((taken) => {
      if (taken.isOk()) this.used.push({ at: this.clock.now(), cost: COST })
    })
  }

  private equip (simulated: SimulatedInstance): QuotaInstance {
    const { overlay, links, member } = simulated
    const self = member.instance
    const kind = new TeamQuotas()
    const owners = new QuotaOwners({ self, clock: this.clock, candidates: () => overlay.usableHubs() })
    const notify = (to: InstanceId, frame: FrameOf<'quota-ask' | 'quota-answer'>): void => {
      if (to === self) queueMicrotask(() => handle(self, frame))
      else overlay.notify(to, frame)
    }
    const isReachable = (instance: InstanceId): boolean => instance === self || overlay.isReachable(instance)
    const client = new QuotaClient<TeamId>({ clock: this.clock, kind, owners, notify: notify as never })
    const division = new QuotaDivision<TeamId>({
      self,
      clock: this.clock,
      kind,
      owners,
      rateOf: () => rateOfTeam(this.quota, SETTINGS, this.network.instances.filter((other) => isReachable(other.member.instance)).length / this.network.instances.length),
      isReachable,
      notify: notify as never
    })
    const handle = (from: InstanceId, frame: FrameOf<'quota-ask' | 'quota-answer'>): void => {
      if (frame.kind === 'quota-ask') division.handleAsk(from, TEAM, frame)
      else client.handleAnswer(TEAM, frame)
    }
    links.onNotice('quota-ask', handle)
    links.onNotice('quota-answer', handle)
    return { simulated, client, division }
  }
}

let fleet: QuotaFleet

beforeEach(async () => {
  fleet = new QuotaFleet()
  await fleet.rest(5_000)
})

afterEach(() => {
  fleet.network.end()
})

const BELOW_QUOTA_PER_SECOND = 12
const FLOOD_PER_SECOND = 170

describe('a team of a fleet of thirty instances', () => {
  it('below its quota is never refused', async () => {
    await fleet.send(BELOW_QUOTA_PER_SECOND, 10_000)
    await fleet.rest(1_000)
    expect(fleet.used.length / fleet.asked).toBe(1)
  })

  it('gets its whole quota and no more in a flood that starts at all instances at once', async () => {
    await fleet.send(BELOW_QUOTA_PER_SECOND, 2_000)
    const from = fleet.clock.now()
    await fleet.send(FLOOD_PER_SECOND, 9_000)
    expect(fleet.mostInWindow).toBeLessThanOrEqual(fleet.bound)
    expect(fleet.usedBetween(from, from + 9_000)).toBeGreaterThan(0.95 * 9 * QUOTA.ratePerSecond)
  })

  it('stays within its quota when the quota owner is killed again and again in a flood', async () => {
    for (let kill = 0; kill < 4; kill++) {
      await fleet.send(FLOOD_PER_SECOND, 1_500)
      fleet.kill(fleet.ownerOf())
    }
    await fleet.send(FLOOD_PER_SECOND, 4_000)
    expect(fleet.mostInWindow).toBeLessThanOrEqual(fleet.bound)
    // The instances that were killed stay registered, and the owner keeps their part of the rate.
    const reached = fleet.instances.length / fleet.network.instances.length
    expect(fleet.usedBetween(fleet.clock.now() - 3_000, fleet.clock.now())).toBeGreaterThan(0.95 * reached * 3 * QUOTA.ratePerSecond)
  })

  it('below its quota is served again soon after the quota owner was killed', async () => {
    await fleet.send(BELOW_QUOTA_PER_SECOND, 3_000)
    fleet.kill(fleet.ownerOf())
    await fleet.send(BELOW_QUOTA_PER_SECOND, 6_000)
    await fleet.rest(1_000)
    expect(fleet.used.length / fleet.asked).toBeGreaterThan(0.95)
  })

  it('stays within its quota over both sides while a data centre is cut off, and after that', async () => {
    await fleet.send(FLOOD_PER_SECOND, 3_000)
    fleet.network.cut(fleet.ownerOf().simulated.member.dataCentre)
    await fleet.send(FLOOD_PER_SECOND, 9_000)
    fleet.network.heal()
    await fleet.send(FLOOD_PER_SECOND, 5_000)
    expect(fleet.mostInWindow).toBeLessThanOrEqual(fleet.bound)
  })

  it('is held to a lower limit within one window after it was lowered', async () => {
    await fleet.send(FLOOD_PER_SECOND, 3_000)
    fleet.quota = { ...QUOTA, ratePerSecond: 5_000, burst: 5_000 }
    await fleet.send(FLOOD_PER_SECOND, 3_000)
    const from = fleet.clock.now()
    await fleet.send(FLOOD_PER_SECOND, 8_000)
    expect(fleet.usedBetween(from, from + 8_000)).toBeLessThanOrEqual(45_000 * 1.1 + SETTINGS.toleranceUnits)
  })
})

describe('the capacity of a quota', () => {
  it('contains the burst and a part of the tolerance', () => {
    expect(capacityOf(QUOTA, SETTINGS)).toMatchInlineSnapshot('26300')
  })
})
