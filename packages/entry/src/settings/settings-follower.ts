/** Keeps the operator settings in force on this instance, and passes on what is new. */
import type { Clock, InstanceId, Logger, ObjectStore, OperatorSettings, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { AppliedChange } from './settings-edit.js'
import { SettingsExchange } from './settings-exchange.js'
import { receiveInitialState } from './settings-start.js'
import { SettingsState } from './settings-state.js'
import { SettingsView } from './settings-view.js'
import { SettingsWatch, STORE_BACKOFF } from './settings-watch.js'
import { isWatcher, rankWatchers, isSubstituteWatcher } from './watcher-ranking.js'

/** What the follower needs of its instance. */
export interface SettingsFollowerDependencies {
  readonly store: ObjectStore
  readonly network: PeerNetwork
  readonly membership: Membership
  /** Whether the platform's list of instances has been read; before, nobody knows which peers there are. */
  readonly membershipKnown?: () => boolean
  readonly logger: Logger
  readonly clock: Clock
  /** How long the store may hold one watch call, milliseconds. */
  readonly watchMilliseconds?: number
  /** From 0 to below 1; for jitter. */
  readonly random?: () => number
}

const DEFAULT_WATCH_MILLISECONDS = 5_000
const INITIAL_LIST_TIMEOUT_MILLISECONDS = 2_000

/** The settings in force; they only go forward. */
export class SettingsFollower extends SettingsView {
  private readonly dependencies: SettingsFollowerDependencies
  private readonly logger: Logger
  private readonly state: SettingsState
  private readonly exchange: SettingsExchange
  private readonly watch: SettingsWatch
  private readonly random: () => number
  private readonly listeners: (() => void)[] = []
  private ready = false

  /** @param dependencies - what it works with */
  constructor (dependencies: SettingsFollowerDependencies) {
    super()
    const { store, network, membership, clock } = dependencies
    this.dependencies = dependencies
    this.logger = dependencies.logger.part('settings')
    this.random = dependencies.random ?? Math.random
    this.state = new SettingsState(this.logger)
    this.exchange = new SettingsExchange({
      network,
      membership,
      clock,
      state: this.state,
      logger: this.logger,
      ready: () => this.ready,
      applyDocuments: (from, documents) => { this.applyPeerDocuments(from, documents) }
    })
    this.watch = new SettingsWatch({
      store,
      clock,
      logger: this.logger,
      random: this.random,
      watchMilliseconds: dependencies.watchMilliseconds ?? DEFAULT_WATCH_MILLISECONDS,
      isWatcher: () => isWatcher(network, membership),
      isSubstituteWatcher: () => isSubstituteWatcher(network, membership, this.watch.storeReachable()),
      applyDocuments: (documents) => { this.applyStoreDocuments(documents) }
    })
  }

  override current (): OperatorSettings | undefined {
    return this.ready ? this.state.current() : undefined
  }

  override revisions (): ReadonlyMap<SettingsPath, Revision> {
    return this.state.revisions()
  }

  override onChange (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns the newest known document of a path, deleted ones included */
  document (path: SettingsPath): SettingsDocument | undefined {
    return this.state.document(path)
  }

  /** @returns the newest known document of every path, deleted ones included */
  documents (): readonly SettingsDocument[] {
    return [...this.state.all()]
  }

  /** @returns the hash for heartbeats; equal hashes mean equal settings */
  settingsHash (): string {
    return this.state.hash()
  }

  /** @returns whether the store answered this part's last call */
  storeReachable (): boolean {
    return this.watch.storeReachable()
  }

  /** Takes up the hash of a peer's heartbeat; a lasting difference is mended. */
  receiveHash (from: InstanceId, hash: string): void {
    this.exchange.receiveHash(from, hash)
  }

  /**
   * Follows the settings until the signal.
   *
   * @param signal - ends it
   */
  async run (signal: AbortSignal): Promise<void> {
    await this.start(signal)
    if (signal.aborted) return
    await Promise.all([this.watch.run(signal), this.exchange.run(signal)])
  }

  /** Puts a document in force that was accepted by the store, and tells the peers. */
  accepted (document: SettingsDocument): void {
    const changed = this.apply([document])
    this.exchange.push(changed)
  }

  /** Takes a document that the store holds. */
  applyStoredDocument (document: SettingsDocument): void {
    this.applyStoreDocuments([document])
  }

  private async start (signal: AbortSignal): Promise<void> {
    const backoff = new Backoff(STORE_BACKOFF, this.random)
    const { clock } = this.dependencies
    while (!signal.aborted) {
      const answers = await Promise.all([
        this.listForStart(signal),
        receiveInitialState({ ...this.dependencies, exchange: this.exchange }, signal)
      ])
      if (answers.includes(true)) break
      this.logger.warn('Neither the store nor a peer has answered; this instance is not ready.')
      await clock.sleep(backoff.next(), signal)
    }
    if (signal.aborted) return
    this.ready = true
    this.logger.info('The settings are in force.', { paths: this.state.revisions().size })
    this.notifyListeners()
  }

  /** A store that is only slow must not keep an instance from starting with what its peers know. */
  private async listForStart (signal: AbortSignal): Promise<boolean> {
    const enough = new AbortController()
    const either = AbortSignal.any([signal, enough.signal])
    const listed = this.watch.list()
    const answered = await Promise.race([listed, this.dependencies.clock.sleep(INITIAL_LIST_TIMEOUT_MILLISECONDS, either).then(() => false)])
    enough.abort()
    return answered
  }

  private applyStoreDocuments (documents: readonly SettingsDocument[]): void {
    for (const document of documents) this.warnIfStoreIsOlder(document)
    const changed = this.apply(documents)
    const [first] = this.watchers()
    const peers = this.exchange.peers()
    // Were every watcher to tell everyone, each change would cross every connection twice; the first one tells all.
    const firstTells = first !== undefined && first !== this.dependencies.network.self.instance && peers.includes(first)
    this.exchange.push(changed, firstTells ? [first] : peers)
  }

  private applyPeerDocuments (from: InstanceId, documents: readonly SettingsDocument[]): void {
    const changed = this.apply(documents)
    const [first, spare] = this.watchers()
    if (first !== this.dependencies.network.self.instance || from !== spare) return
    this.exchange.push(changed, this.exchange.peers().filter((peer) => peer !== from))
  }

  private watchers (): InstanceId[] {
    return rankWatchers(this.dependencies.network, this.dependencies.membership)
  }

  /** A store restored from a copy is mended by the next accepted change, which counts on from the highest revision. */
  private warnIfStoreIsOlder (document: SettingsDocument): void {
    const known = this.state.document(document.path)
    if (known === undefined || known.revision <= document.revision) return
    this.logger.warn('The store holds an older revision; the newer one stays in force.', { path: document.path, stored: document.revision, inForce: known.revision })
  }

  private apply (documents: readonly SettingsDocument[]): AppliedChange[] {
    const changed = documents.flatMap((document) => {
      const former = this.state.document(document.path)
      return this.state.apply(document) ? [{ document, former }] : []
    })
    if (changed.length > 0 && this.ready) this.notifyListeners()
    return changed
  }

  private notifyListeners (): void {
    for (const listener of this.listeners) listener()
  }
}
