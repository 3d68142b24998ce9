/** Several instances in one process that exchange frames over simulated connections, for tests of the settings. */
import { errAsync, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createLogger, LimpetwinchError, ObjectStore, silentLogger, SystemClock } from '@limpetwinch/core'
import type { Clock, ConditionalWrite, DataCentreId, FrameOf, InstanceId, Revision, SettingsDocument, SettingsPath, StoredObject, WatchStep } from '@limpetwinch/core'
import { Membership, PeerNetwork, SettingsFollower, SettingsHistory, SettingsWriter } from '@limpetwinch/entry'
import { encodeFrame, FrameReader } from '../../src/peers/frame-codec.js'
import type { CallBody, CallFrame, FrameCounts, Member, MemberState, NoticeFrame, ReplyBody } from '@limpetwinch/entry'

/** Time that the store holds a watch without changes in these tests. */
export const WATCH_MILLISECONDS = 200

type Handler = (from: InstanceId, frame: NoticeFrame) => void

/** The settings components of one entry instance. */
export interface SettingsInstance {
  readonly instance: InstanceId
  readonly follower: SettingsFollower
  readonly writer: SettingsWriter
  readonly history: SettingsHistory
  readonly stop: () => Promise<void>
}

/** Instances and the simulated connections between them. */
export class SettingsDeployment {
  readonly sent: { from: InstanceId, to: InstanceId, frame: NoticeFrame }[] = []
  /** Returns whether a frame is lost. */
  drop: (frame: NoticeFrame) => boolean = () => false
  private readonly networks = new Map<InstanceId, TestNetwork>()
  private readonly cuts = new Set<string>()
  private readonly states = new Map<InstanceId, MemberState>()
  private readonly running: SettingsInstance[] = []
  private heartbeat: NodeJS.Timeout | undefined

  /** Starts an instance. Unless `wait` is false, its settings are in force when the promise resolves. */
  async start (name: string, store: ObjectStore, options: { dataCentre?: string, wait?: boolean, clock?: Clock, hasDefaultWatch?: boolean } = {}): Promise<SettingsInstance> {
    const instance = name as InstanceId
    const network = new TestNetwork(this, { instance, dataCentre: (options.dataCentre ?? 'north') as DataCentreId, address: name })
    const membership = new TestMembership(this)
    this.networks.set(instance, network)
    this.states.set(instance, 'alive')
    const logger = process.env['SHOW_LOGS'] === undefined ? silentLogger() : createLogger('text', 'debug').part(name)
    const clock = options.clock ?? new SystemClock()
    const follower = new SettingsFollower({ store, network, membership, logger, clock, ...options.hasDefaultWatch === true ? {} : { watchMilliseconds: WATCH_MILLISECONDS } })
    const history = new SettingsHistory(store)
    const writer = new SettingsWriter({ store, follower, history, logger, clock })
    const ending = new AbortController()
    const run = follower.run(ending.signal)
    const started: SettingsInstance = {
      instance,
      follower,
      writer,
      history,
      stop: async () => {
        this.networks.delete(instance)
        this.states.delete(instance)
        this.running.splice(this.running.indexOf(started), 1)
        ending.abort()
        await run
      }
    }
    this.running.push(started)
    this.heartbeat ??= setInterval(() => { this.sendHeartbeats() }, 50)
    if (options.wait !== false) await until(() => follower.current() !== undefined)
    return started
  }

  /** Stops all instances. */
  async stop (): Promise<void> {
    clearInterval(this.heartbeat)
    for (const each of [...this.running]) await each.stop()
  }

  /** Cuts the connection between two instances in both directions. */
  cut (left: SettingsInstance, right: SettingsInstance): void {
    this.cuts.add(linkOf(left.instance, right.instance))
  }

  /** Restores all connections. */
  join (): void {
    this.cuts.clear()
  }

  /** @returns whether two instances are connected */
  connects (left: InstanceId, right: InstanceId): boolean {
    return this.networks.has(left) && this.networks.has(right) && !this.cuts.has(linkOf(left, right))
  }

  /** @returns the members that every instance sees */
  members (): Member[] {
    return [...this.networks.values()].map(({ self }) => ({
      ...self,
      state: this.states.get(self.instance) ?? 'gone',
      storeReachable: this.running.find((each) => each.instance === self.instance)?.follower.storeReachable() ?? true
    }))
  }

  /** @returns the number of bytes sent so far in frames of one kind */
  bytesSent (kind: NoticeFrame['kind']): number {
    return this.sent.filter(({ frame }) => frame.kind === kind).reduce((bytes, { frame }) => bytes + encodeFrame(frame)._unsafeUnwrap().length, 0)
  }

  /** Delivers a frame in a later turn of the event loop. */
  deliver (from: InstanceId, to: InstanceId, frame: NoticeFrame): void {
    if (!this.connects(from, to) || this.drop(frame)) return
    this.sent.push({ from, to, frame })
    // The frame is encoded and decoded, because the wire format drops fields that its schemas do not contain.
    const received = new FrameReader().read(encodeFrame(frame)._unsafeUnwrap())._unsafeUnwrap()
    setImmediate(() => { for (const each of received) this.networks.get(to)?.receive(from, each.frame as NoticeFrame) })
  }

  private sendHeartbeats (): void {
    for (const from of this.running) {
      for (const to of this.running) {
        if (from !== to && this.connects(from.instance, to.instance)) to.follower.receiveHash(from.instance, from.follower.settingsHash())
      }
    }
  }
}

class TestNetwork extends PeerNetwork {
  override readonly self: { instance: InstanceId, dataCentre: DataCentreId, address: string }
  private readonly deployment: SettingsDeployment
  private readonly handlers = new Map<string, Handler>()

  constructor (deployment: SettingsDeployment, self: { instance: InstanceId, dataCentre: DataCentreId, address: string }) {
    super()
    this.deployment = deployment
    this.self = self
  }

  override notify (to: InstanceId, frame: NoticeFrame): void {
    this.deployment.deliver(this.self.instance, to, frame)
  }

  override call (to: InstanceId, _body: CallBody): ResultAsync<ReplyBody, LimpetwinchError> {
    return errAsync(new LimpetwinchError('peer-unreachable', { instance: to, reason: 'settings make no calls' }))
  }

  override onNotice<Kind extends NoticeFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>) => void): void {
    this.handlers.set(kind, handler as unknown as Handler)
  }

  override onCall<Kind extends CallFrame['kind']> (_kind: Kind): void {}

  override connected (): readonly InstanceId[] {
    return this.deployment.members().map((member) => member.instance).filter((other) => other !== this.self.instance && this.deployment.connects(this.self.instance, other))
  }

  override counts (): FrameCounts {
    return {}
  }

  receive (from: InstanceId, frame: NoticeFrame): void {
    this.handlers.get(frame.kind)?.(from, frame)
  }
}

class TestMembership extends Membership {
  private readonly deployment: SettingsDeployment

  constructor (deployment: SettingsDeployment) {
    super()
    this.deployment = deployment
  }

  override members (): readonly Member[] {
    return this.deployment.members()
  }

  override member (instance: InstanceId): Member | undefined {
    return this.members().find((member) => member.instance === instance)
  }

  override leavingEndpoints (): ReadonlySet<string> {
    return new Set()
  }

  override onChange (): void {}
}

/** The access of one instance to the store. Tests can delay its reads, lose its writes and replace the results of its calls. */
export class InterceptedStore extends ObjectStore {
  /** Numbers of list and watch calls so far, and of watches that are waiting now. */
  readonly calls = { lists: 0, watches: 0, waiting: 0 }
  /** Runs before each read of one object. */
  beforeGet: () => Promise<unknown> = async () => undefined
  /** Replaces the result of a watch. */
  replaceWatchResult: ((step: WatchStep) => WatchStep) | undefined
  /** Replaces the result of a read of one object. */
  replaceGetResult: ((object: StoredObject | undefined) => StoredObject | undefined) | undefined
  /** Writes that were reported as lost and have not reached the store. */
  readonly lostWrites: ConditionalWrite[] = []
  /** Number of the next writes that are reported as lost and do not reach the store. */
  writesToLose = 0
  private readonly inner: ObjectStore

  constructor (inner: ObjectStore) {
    super()
    this.inner = inner
  }

  override get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError> {
    return ResultAsync.fromSafePromise(this.beforeGet())
      .andThen(() => this.inner.get(path))
      .map((object) => this.replaceGetResult === undefined ? object : this.replaceGetResult(object))
  }

  override list (prefix: string): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError> {
    this.calls.lists += 1
    return this.inner.list(prefix)
  }

  override put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError> {
    if (this.writesToLose === 0) return this.inner.put(write)
    this.writesToLose -= 1
    this.lostWrites.push(write)
    return errAsync(new LimpetwinchError('store-answer-lost', { path: write.path }))
  }

  override watch (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): ResultAsync<WatchStep, LimpetwinchError> {
    this.calls.watches += 1
    this.calls.waiting += 1
    return new ResultAsync(this.watchCounted(prefix, cursor, waitMilliseconds, signal))
  }

  private async watchCounted (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<WatchStep, LimpetwinchError>> {
    const result = await this.inner.watch(prefix, cursor, waitMilliseconds, signal)
    this.calls.waiting -= 1
    return result.map((step) => this.replaceWatchResult === undefined ? step : this.replaceWatchResult(step))
  }
}

/** Waits for a condition. The timeout of the test ends the wait. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

/** Settings path that most tests write. */
export const PATH = '/teams/history' as SettingsPath

/** @returns the text of a team's document with one adapter at a version */
export function teamText (version: string): string {
  return `{ "adapters": { "poem": { "baseModel": "base", "versions": ["v1", "v2", "v3"], "current": "${version}" } } }`
}

/** Replaces the text of a document. */
export async function put (writer: SettingsWriter, text: string | undefined, ifRevision: number, path: SettingsPath = PATH): Promise<Awaited<ReturnType<SettingsWriter['accept']>>> {
  return await writer.accept({ path, ifRevision: ifRevision as Revision, change: () => ok(text), author: 'administrator' })
}

/** @returns the current version of the adapter in the settings of an instance */
export function versionAt (instance: SettingsInstance): string | undefined {
  const teams = instance.follower.current()?.teams
  return [...teams?.values() ?? []][0]?.adapters['poem']?.current
}

/** @returns a document of the default path */
export function document (revision: number, version: string): SettingsDocument {
  return { path: PATH, revision: revision as Revision, text: teamText(version), writeId: `write-${revision}`, acceptedAt: revision, author: 'administrator' }
}

function linkOf (left: InstanceId, right: InstanceId): string {
  return [left, right].sort().join(' ')
}
