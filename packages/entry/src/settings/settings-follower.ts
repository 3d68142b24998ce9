/** Keeps the operator settings of this instance up to date, and forwards new documents to its peers. */
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

/** Dependencies of the settings follower. */
export interface SettingsFollowerDependencies {
  readonly store: ObjectStore
  readonly network: PeerNetwork
  readonly membership: Membership
  /** Returns whether the platform's list of instances has been read. Before that, the set of peers is unknown. */
  readonly membershipKnown?: () => boolean
  readonly logger: Logger
  readonly clock: Clock
  /** Maximum time that the store holds one watch call open, in milliseconds. */
  readonly watchMilliseconds?: number
  /** Returns a random number from 0 to below 1, for jitter. */
  readonly random?: () => number
}

/** With the grace of a watch call, short enough that a connection that has fallen silent delays no setting beyond four seconds. */
const DEFAULT_WATCH_MILLISECONDS = 2_000
/** Time that the start waits for the first read of the store before it continues without that read. */
const INITIAL_LIST_TIMEOUT_MILLISECONDS = 2_000

/** Follows the settings in the store and on peers. A newer document is never replaced by an older one. */
export class SettingsFollower extends SettingsView {
  private readonly dependencies: SettingsFollowerDependencies
  private readonly logger: Logger
  private readonly state: SettingsState
  private readonly exchange: SettingsExchange
  private readonly watch: SettingsWatch
  private readonly random: () => number
  private readonly listeners: (() => void)[] = []
  private ready = false

  /** @param dependencies - the store, the network and the other collaborators */
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

  /** @returns the newest known document of a path, which may be a deletion */
  document (path: SettingsPath): SettingsDocument | undefined {
    return this.state.document(path)
  }

  /** @returns the newest known document of every path, including deletions */
  documents (): readonly SettingsDocument[] {
    return [...this.state.all()]
  }

  /** @returns the hash of the settings, which heartbeats carry to peers; equal hashes mean equal settings */
  settingsHash (): string {
    return this.state.hash()
  }

  /**
   * @returns whether the store is considered reachable from this instance, judged by the calls that read and watch the
   *   settings
   */
  storeReachable (): boolean {
    return this.watch.storeReachable()
  }

  /**
   * Handles the settings hash in a heartbeat of a peer. If the hash keeps differing from the local one, this instance requests
   * the missing changes from the peer.
   */
  receiveHash (from: InstanceId, hash: string): void {
    this.exchange.receiveHash(from, hash)
  }

  /**
   * Follows the settings until the signal is aborted.
   *
   * @param signal - stops following the settings
   */
  async run (signal: AbortSignal): Promise<void> {
    await this.start(signal)
    if (signal.aborted) return
    await Promise.all([this.watch.run(signal), this.exchange.run(signal)])
  }

  /** Puts a document in force that the store has accepted, and sends it to the peers. */
  accepted (document: SettingsDocument): void {
    const changed = this.apply([document])
    this.exchange.push(changed)
  }

  /** Applies a document that was read from the store. */
  applyStoredDocument (document: SettingsDocument): void {
    this.applyStoreDocuments([document])
  }

  private async start (signal: AbortSignal): Promise<void> {
    const backoff = new Backoff(STORE_BACKOFF, this.random)
    const { clock } = this.dependencies
    while (!signal.aborted) {
      const results = await Promise.all([
        this.listForStart(signal),
        receiveInitialState({ ...this.dependencies, exchange: this.exchange }, signal)
      ])
      if (results.includes(true)) break
      this.logger.warn('Neither the store nor a peer has answered; this instance is not ready.')
      await clock.sleep(backoff.next(), signal)
    }
    if (signal.aborted) return
    this.ready = true
    this.logger.info('The settings are in force.', { paths: this.state.revisions().size })
    this.notifyListeners()
  }

  /**
   * Reads the settings from the store within a time limit. A slow store must not keep this instance from starting with the
   * settings that its peers have sent.
   */
  private async listForStart (signal: AbortSignal): Promise<boolean> {
    const settled = new AbortController()
    const either = AbortSignal.any([signal, settled.signal])
    const listed = this.watch.list()
    const answered = await Promise.race([listed, this.dependencies.clock.sleep(INITIAL_LIST_TIMEOUT_MILLISECONDS, either).then(() => false)])
    settled.abort()
    return answered
  }

  private applyStoreDocuments (documents: readonly SettingsDocument[]): void {
    for (const document of documents) this.warnIfStoreIsOlder(document)
    const changed = this.apply(documents)
    const [first] = this.watchers()
    const peers = this.exchange.peers()
    // If both watchers sent a change to all peers, each peer would receive the change twice. Only the first watcher does so.
    const firstForwards = first !== undefined && first !== this.dependencies.network.self.instance && peers.includes(first)
    this.exchange.push(changed, firstForwards ? [first] : peers)
  }

  private applyPeerDocuments (from: InstanceId, documents: readonly SettingsDocument[]): void {
    const changed = this.apply(documents)
    const [first, spare] = this.watchers()
    // The spare watcher sends its changes to the first watcher only, which forwards them to the other peers.
    if (first !== this.dependencies.network.self.instance || from !== spare) return
    this.exchange.push(changed, this.exchange.peers().filter((peer) => peer !== from))
  }

  private watchers (): InstanceId[] {
    return rankWatchers(this.dependencies.network, this.dependencies.membership)
  }

  /**
   * Warns when the store has an older revision than this instance, as after a restore from a backup. The next accepted change
   * of the path brings the store up to date again, because the change gets the revision after the highest known one.
   */
  private warnIfStoreIsOlder (document: SettingsDocument): void {
    const known = this.state.document(document.path)
    if (known === undefined || known.revision <= document.revision) return
    this.logger.warn('The store holds an older revision; the newer one stays in force.', {
      path: document.path,
      stored: document.revision,
      inForce: known.revision
    })
  }

  private apply (documents: readonly SettingsDocument[]): AppliedChange[] {
    const changed = documents.flatMap((document) => {
      const replaced = this.state.document(document.path)
      return this.state.apply(document) ? [{ document, replaced }] : []
    })
    if (changed.length > 0 && this.ready) this.notifyListeners()
    return changed
  }

  private notifyListeners (): void {
    for (const listener of this.listeners) listener()
  }
}
