/** Exchanges settings between the instances of a data centre: pushes new documents, and detects and closes gaps. */
import { isNewer } from '@limpetwinch/core'
import type { Clock, FrameOf, InstanceId, Logger, SettingsDocument } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { documentOfEdit, editOf } from './settings-edit.js'
import type { AppliedChange } from './settings-edit.js'
import type { SettingsState } from './settings-state.js'

/** Dependencies of the settings exchange. */
export interface SettingsExchangeDependencies {
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly state: SettingsState
  readonly logger: Logger
  readonly clock: Clock
  /** Returns whether this instance has a complete state, which starting peers may use. */
  readonly ready: () => boolean
  /** Applies documents that a peer sent. */
  readonly applyDocuments: (from: InstanceId, documents: readonly SettingsDocument[]) => void
}

/**
 * Kind of a peer's answer to a request for changes. `whole`: the answer is complete; `more`: the rest needs another request;
 * `unready`: the peer has no complete state itself.
 */
type SettingsAnswer = NonNullable<FrameOf<'settings-change'>['answer']>

/** State of the requests to a peer whose settings hash differs from that of this instance. */
interface Gap {
  readonly since: number
  /** Interval between requests in milliseconds. It doubles with each request. */
  wait: number
  nextRequestAt: number
}

const CHECK_INTERVAL_MILLISECONDS = 100
/**
 * Time from the first differing hash of a peer to the first request to that peer. A change that is still being transferred
 * makes the hashes differ for a moment and needs no request.
 */
const GRACE_PERIOD_MILLISECONDS = 200
const INITIAL_REQUEST_INTERVAL_MILLISECONDS = 500
const MAXIMUM_REQUEST_INTERVAL_MILLISECONDS = 30_000
/**
 * Maximum total size of the document texts in one frame, in characters, so that no frame blocks a connection for long. A
 * single document is never split, so a frame with a larger document exceeds this size.
 */
const MAXIMUM_FRAME_CHARACTERS = 256 * 1024

/** Exchanges settings with the peers of the data centre. */
export class SettingsExchange {
  private readonly dependencies: SettingsExchangeDependencies
  private readonly gaps = new Map<InstanceId, Gap>()
  /** The latest settings hash received from each peer whose hash differed from that of this instance. */
  private readonly heard = new Map<InstanceId, string>()
  private readonly answerListeners = new Set<(from: InstanceId, answer: SettingsAnswer) => void>()

  /** @param dependencies - the network, the state and the other collaborators */
  constructor (dependencies: SettingsExchangeDependencies) {
    this.dependencies = dependencies
    dependencies.network.onNotice('settings-change', (from, frame) => { this.applyChange(from, frame) })
    dependencies.network.onNotice('settings-revisions', (from, frame) => { this.answer(from, frame) })
  }

  /** @returns the connected peers in the data centre of this instance */
  peers (): InstanceId[] {
    const { network, membership } = this.dependencies
    const { instance, dataCentre } = network.self
    return network.connected().filter((peer) => peer !== instance && membership.member(peer)?.dataCentre === dataCentre)
  }

  /**
   * Sends changes to peers.
   *
   * @param changes - the documents that came into force on this instance
   * @param to - the receiving peers, by default all connected peers of the data centre
   */
  push (changes: readonly AppliedChange[], to: readonly InstanceId[] = this.peers()): void {
    const edits = changes.flatMap((change) => editOf(change) ?? [])
    const wholeDocuments = changes.filter((change) => editOf(change) === undefined).map((change) => change.document)
    const frames: FrameOf<'settings-change'>[] = []
    if (edits.length > 0) frames.push({ kind: 'settings-change', documents: [], edits })
    if (wholeDocuments.length > 0) frames.push(...inFrames(wholeDocuments).map((documents) => ({ kind: 'settings-change', documents }) as const))
    for (const frame of frames) {
      for (const peer of to) this.dependencies.network.notify(peer, frame)
    }
  }

  /**
   * Handles the settings hash in a heartbeat of a peer: a hash that differs from the local one opens a gap, an equal one
   * closes it.
   */
  receiveHash (from: InstanceId, hash: string): void {
    if (hash === this.dependencies.state.hash()) {
      this.heard.delete(from)
      this.gaps.delete(from)
      return
    }
    this.heard.set(from, hash)
    const now = this.dependencies.clock.now()
    if (!this.gaps.has(from)) this.gaps.set(from, { since: now, wait: INITIAL_REQUEST_INTERVAL_MILLISECONDS, nextRequestAt: now + GRACE_PERIOD_MILLISECONDS })
  }

  /** Requests missing changes from one peer at a time, for as long as the hash of the peer differs. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
      this.removeClosedGaps()
      const now = this.dependencies.clock.now()
      const due = [...this.gaps].find(([, gap]) => gap.nextRequestAt <= now)
      if (due !== undefined) this.requestAgain(due[0], due[1], now)
    }
  }

  /** Sends the revisions known on this instance to a peer, which answers with its newer documents. */
  requestChanges (peer: InstanceId): void {
    const revisions = [...this.dependencies.state.all()].map(({ path, revision, writeId, acceptedAt }) => ({ path, revision, writeId, acceptedAt }))
    this.dependencies.network.notify(peer, { kind: 'settings-revisions', revisions })
  }

  /**
   * @param listener - called with each answer to a request for changes
   * @returns a function that removes the listener
   */
  onAnswer (listener: (from: InstanceId, answer: SettingsAnswer) => void): () => void {
    this.answerListeners.add(listener)
    return () => { this.answerListeners.delete(listener) }
  }

  private removeClosedGaps (): void {
    const connected = new Set(this.peers())
    const hash = this.dependencies.state.hash()
    for (const peer of this.gaps.keys()) {
      if (connected.has(peer) && this.heard.get(peer) !== hash) continue
      this.gaps.delete(peer)
      this.heard.delete(peer)
    }
  }

  /**
   * Sends a request to the peer and doubles the interval to the next one. A peer whose hash keeps differing, for example
   * because it stays behind, is thus asked ever more rarely.
   */
  private requestAgain (peer: InstanceId, gap: Gap, now: number): void {
    gap.nextRequestAt = now + gap.wait
    gap.wait = Math.min(MAXIMUM_REQUEST_INTERVAL_MILLISECONDS, gap.wait * 2)
    this.requestChanges(peer)
  }

  /** Answers a request for changes with the documents that are newer on this instance. */
  private answer (from: InstanceId, frame: FrameOf<'settings-revisions'>): void {
    if (!this.dependencies.ready()) {
      this.dependencies.network.notify(from, { kind: 'settings-change', documents: [], answer: 'unready' })
      return
    }
    const known = new Map(frame.revisions.map((each) => [each.path, each]))
    const newer = [...this.dependencies.state.all()].filter((document) => isNewer(document, known.get(document.path)))
    // The answer to a request is a single frame, and the peer requests the rest. The connection drops frames beyond a limit.
    // If an answer had several frames and the first were dropped, the last frame would be mistaken for the complete answer.
    const [part = [], ...rest] = inFrames(newer)
    this.dependencies.network.notify(from, { kind: 'settings-change', documents: part, answer: rest.length === 0 ? 'whole' : 'more' })
  }

  private applyChange (from: InstanceId, frame: FrameOf<'settings-change'>): void {
    const { state } = this.dependencies
    const edited = (frame.edits ?? []).flatMap((edit) => documentOfEdit(edit, state.document(edit.path)) ?? [])
    this.dependencies.applyDocuments(from, [...frame.documents, ...edited])
    if (frame.answer === undefined) return
    if (frame.answer === 'more') this.requestChanges(from)
    for (const listener of this.answerListeners) listener(from, frame.answer)
  }
}

/** @returns the documents, split into frames by the size of their texts; one empty frame when there are no documents */
function inFrames (documents: readonly SettingsDocument[]): SettingsDocument[][] {
  const frames: SettingsDocument[][] = [[]]
  let characters = 0
  for (const document of documents) {
    const size = document.text?.length ?? 0
    if (characters > 0 && characters + size > MAXIMUM_FRAME_CHARACTERS) {
      frames.push([])
      characters = 0
    }
    frames.at(-1)?.push(document)
    characters += size
  }
  return frames
}
