/** Everything that one instance needs to admit the requests of teams: keys, the proof that they are up to date, and quotas. */
import type { Clock, HeartbeatFrame, InstanceId, TeamId } from '@limpetwinch/core'
import type { PeerLinks, ReceivedHeartbeat } from '@limpetwinch/entry'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import { ConfigurationProof } from '../cluster-state/configuration-proof.js'
import type { Moment } from '../cluster-state/configuration-proof.js'
import { ConfigurationProver } from '../cluster-state/configuration-prover.js'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { IngressSettings } from '../runtime/ingress-settings.js'
import { QuotaClient } from '../quotas/quota-client.js'
import { QuotaDivision } from '../quotas/quota-division.js'
import type { QuotaOwners } from '../quotas/quota-owners.js'
import { TeamAdmission } from './team-admission.js'
import { rateOfTeam, TeamQuotas } from './team-quotas.js'

/** What the teams need of the instance. */
export interface TeamsDependencies {
  readonly self: InstanceId
  readonly settings: IngressSettings
  readonly clock: Clock
  readonly configuration: AcceptedConfiguration
  readonly members: MemberList
  readonly overlay: PeerOverlay
  readonly owners: QuotaOwners
  readonly network: PeerLinks
  readonly metrics: IngressMetrics
  /** @returns whether this instance reads the store for others */
  readonly isReader: () => boolean
  /** Asks the store for the newest configuration; see {@link Teams.configurationConfirmed}. */
  readonly readStore: () => Promise<void>
}

/** The teams of one instance. */
export class Teams {
  readonly admission: TeamAdmission
  private readonly parts: TeamsDependencies
  private readonly proof: ConfigurationProof
  private readonly prover: ConfigurationProver
  private readonly quotaClient: QuotaClient<TeamId>
  private readonly quotaDivision: QuotaDivision<TeamId>

  constructor (parts: TeamsDependencies) {
    this.parts = parts
    const { self, settings, clock, configuration, metrics, overlay, owners } = parts
    this.proof = new ConfigurationProof(clock, () => configuration.version)
    const kind = new TeamQuotas()
    const notify: PeerOverlay['notify'] = (to, frame) => overlay.notify(to, frame)
    this.quotaClient = new QuotaClient({ clock, kind, owners, notify })
    this.quotaDivision = new QuotaDivision({
      self,
      clock,
      kind,
      owners,
      rateOf: (team) => {
        const quota = configuration.current?.teams.get(team)?.quota
        return quota === undefined ? undefined : rateOfTeam(quota, settings.quotas, parts.members.reachableShare())
      },
      isReachable: (instance) => instance === self || overlay.isReachable(instance),
      notify
    })
    const { revocationMilliseconds } = settings
    this.admission = new TeamAdmission({ clock, configuration, proof: this.proof, revocationMilliseconds, quotas: this.quotaClient, metrics })
    this.prover = new ConfigurationProver({
      clock,
      proof: this.proof,
      limitMilliseconds: () => this.admission.proofLimitMilliseconds,
      isReader: parts.isReader,
      readStore: parts.readStore
    })
  }

  /** Registers the handlers and listeners. */
  connect (): void {
    const { network, configuration } = this.parts
    network.onNotice('quota-ask', (from, frame) => this.quotaDivision.handleAsk(from, frame.team as TeamId, frame))
    network.onNotice('quota-answer', (_from, frame) => this.quotaClient.handleAnswer(frame.team as TeamId, frame))
    network.onHeartbeat((_from, heartbeat) => this.applyHeartbeat(heartbeat))
    configuration.onChange(() => this.proof.configurationApplied())
  }

  /** Keeps the proof of the configuration young until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await this.prover.run(signal)
  }

  /** Records that the store named no newer configuration than the one in force in its answer to a question sent at a moment. */
  configurationConfirmed (askedAt: Moment): void {
    this.proof.record(this.parts.configuration.version, askedAt)
  }

  /** @returns recent use of the team's quota over all instances, 1 being all of it; undefined if it is not known */
  shareUsed (team: TeamId): number | undefined {
    return this.quotaClient.usedShare(team)
  }

  /** Fields of each heartbeat by which peers learn of the proof. */
  heartbeatFields (): Pick<HeartbeatFrame, 'provedConfiguration' | 'provedMillisecondsAgo'> {
    return this.proof.statement()
  }

  /** Gives back unused tokens; called periodically. */
  maintain (): void {
    this.quotaClient.releaseIdle()
    this.quotaDivision.maintain()
  }

  /** Gives all tokens back. */
  stop (): void {
    this.quotaClient.releaseAll()
  }

  /** Values for the gauges of the metrics. */
  gauges (): { readonly configurationProofSeconds: number, readonly teamsInUse: number, readonly ownedQuotas: number } {
    return {
      configurationProofSeconds: this.proof.ageMilliseconds() / 1_000,
      teamsInUse: this.quotaClient.activeSubjects,
      ownedQuotas: this.ownedQuotas.length
    }
  }

  /** Teams whose quota this instance divides now. */
  get ownedQuotas (): readonly TeamId[] {
    return this.quotaDivision.subjects
  }

  private applyHeartbeat ({ frame, echoedSentAt }: ReceivedHeartbeat): void {
    const { provedConfiguration, provedMillisecondsAgo } = frame
    if (provedConfiguration === undefined || provedMillisecondsAgo === undefined || echoedSentAt === undefined) return
    this.proof.recordStatement(provedConfiguration, provedMillisecondsAgo, echoedSentAt)
  }
}
