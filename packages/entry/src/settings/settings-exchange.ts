/** Settings between the instances of a data centre: pushing what is new, and finding and closing gaps. */
import { isNewer } from '@limpetwinch/core'
import type { Clock, FrameOf, InstanceId, Logger, SettingsDocument } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { documentOfEdit, editOf } from './settings-edit.js'
import type { AppliedChange } from './settings-edit.js'
import type { SettingsState } from './settings-state.js'

/** What the exchange needs of its instance. */
export interface SettingsExchangeDependencies {
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly state: SettingsState
  readonly logger: Logger
  readonly clock: Clock
  /** Whether this instance has a whole state that others may start from. */
  readonly ready: () => boolean
  /** Takes documents that a peer sent. */
  readonly applyDocuments: (from: InstanceId, documents: readonly SettingsDocument[]) => void
}

/** `more`: ask again for the rest; `unready`: the peer has no whole state itself. */
type SettingsAnswer = NonNullable<FrameOf<'settings-change'>['answer']>

interface Gap {
  readonly since: number
  wait: number
  nextRequestAt: number
}

const CHECK_INTERVAL_MILLISECONDS = 100
/** A change on its way makes hashes differ for a moment; only a lasting difference is a gap. */
const GRACE_PERIOD_MILLISECONDS = 200
const INITIAL_REQUEST_INTERVAL_MILLISECONDS = 500
const MAXIMUM_REQUEST_INTERVAL_MILLISECONDS = 30_000
/** Characters of text in one frame, so that no frame holds a connection up for long. */
const MAXIMUM_FRAME_CHARACTERS = 256 * 1024

/** Exchanges settings with the peers. */
export class SettingsExchange {
  private readonly dependencies: SettingsExchangeDependencies
  private readonly gaps = new Map<InstanceId, Gap>()
  private readonly heard = new Map<InstanceId, string>()
  private readonly answerListeners = new Set<(from: InstanceId, answer: SettingsAnswer) => void>()

  /** @param dependencies - what it works with */
  constructor (dependencies: SettingsExchangeDependencies) {
    this.dependencies = dependencies
    dependencies.network.onNotice('settings-change', (from, frame) => { this.applyChange(from, frame) })
    dependencies.network.onNotice('settings-revisions', (from, frame) => { this.answer(from, frame) })
  }

  /** @returns connected peers of this data centre */
  peers (): InstanceId[] {
    const { network, membership } = this.dependencies
    const { instance, dataCentre } = network.self
    return network.connected().filter((peer) => peer !== instance && membership.member(peer)?.dataCentre === dataCentre)
  }

  /**
   * Sends changes to peers.
   *
   * @param changes - what is new
   * @param to - the peers; all of the data centre unless given
   */
  push (changes: readonly AppliedChange[], to: readonly InstanceId[] = this.peers()): void {
    const edits = changes.flatMap((change) => editOf(change) ?? [])
    const whole = changes.filter((change) => editOf(change) === undefined).map((change) => change.document)
    const frames: FrameOf<'settings-change'>[] = []
    if (edits.length > 0) frames.push({ kind: 'settings-change', documents: [], edits })
    if (whole.length > 0) frames.push(...inFrames(whole).map((documents) => ({ kind: 'settings-change', documents }) as const))
    for (const frame of frames) {
      for (const peer of to) this.dependencies.network.notify(peer, frame)
    }
  }

  /** Takes up the hash of a peer's heartbeat. */
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

  /** Asks one peer at a time for what is missing here, for as long as its hash differs. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
      this.removeClosedGaps()
      const now = this.dependencies.clock.now()
      const due = [...this.gaps].find(([, gap]) => gap.nextRequestAt <= now)
      if (due !== undefined) this.requestAgain(due[0], due[1], now)
    }
  }

  /** Tells a peer what is known here; it answers with what is newer there. */
  requestChanges (peer: InstanceId): void {
    const revisions = [...this.dependencies.state.all()].map(({ path, revision, writeId, acceptedAt }) => ({ path, revision, writeId, acceptedAt }))
    this.dependencies.network.notify(peer, { kind: 'settings-revisions', revisions })
  }

  /**
   * @param listener - called with each answer to an ask
   * @returns ends the listening
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

  /** A peer that stays behind, or reads settings otherwise, is asked more and more rarely. */
  private requestAgain (peer: InstanceId, gap: Gap, now: number): void {
    gap.nextRequestAt = now + gap.wait
    gap.wait = Math.min(MAXIMUM_REQUEST_INTERVAL_MILLISECONDS, gap.wait * 2)
    this.requestChanges(peer)
  }

  private answer (from: InstanceId, frame: FrameOf<'settings-revisions'>): void {
    if (!this.dependencies.ready()) {
      this.dependencies.network.notify(from, { kind: 'settings-change', documents: [], answer: 'unready' })
      return
    }
    const known = new Map(frame.revisions.map((each) => [each.path, each]))
    const newer = [...this.dependencies.state.all()].filter((document) => isNewer(document, known.get(document.path)))
    // One frame for each ask: the connection drops frames beyond a bound, and the end of an answer whose beginning was
    // dropped would pass for all of it.
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

/** @returns the documents split by size; one empty part when there are none */
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
