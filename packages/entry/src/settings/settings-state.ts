/** Newest settings known to this instance, with their parsed form. */
import { createHash } from 'node:crypto'
import { endpointsSettingsSchema, isNewer, parseAcceptedSettings, policySettingsSchema, sharesSettingsSchema, teamOfPath } from '@limpetwinch/core'
import type {
  EndpointsSettings, Logger, OperatorSettings, PolicySettings, Revision, SettingsDocument, SettingsPath, SharesSettings, TeamId, TeamSettings
} from '@limpetwinch/core'

const HASH_BYTES = 8

/** Holds the newest document of each path. A document is replaced only by a newer one. */
export class SettingsState {
  private readonly logger: Logger
  private readonly documents = new Map<SettingsPath, SettingsDocument>()
  private readonly inForce = new Map<SettingsPath, Revision>()
  private readonly combinedHash = Buffer.alloc(HASH_BYTES)
  private settings: OperatorSettings = {
    teams: new Map(),
    shares: sharesSettingsSchema.parse({}),
    endpoints: endpointsSettingsSchema.parse({}),
    policy: policySettingsSchema.parse({})
  }

  /** @param logger - the logger of the settings component */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** @returns the parsed settings in force; the same object until a document changes */
  current (): OperatorSettings {
    return this.settings
  }

  /** @returns the revision in force of each path */
  revisions (): ReadonlyMap<SettingsPath, Revision> {
    return this.inForce
  }

  /** @returns the newest document of a path, which may be a deletion */
  document (path: SettingsPath): SettingsDocument | undefined {
    return this.documents.get(path)
  }

  /** @returns the newest document of every path */
  all (): Iterable<SettingsDocument> {
    return this.documents.values()
  }

  /** @returns a hash over the path, revision and write id of the newest document of every path, independent of their order */
  hash (): string {
    return this.combinedHash.toString('hex')
  }

  /**
   * Replaces the known document of a path by a newer one.
   *
   * A stale read, a stale watch, an outdated peer and a store restored from a backup can all deliver an older document, which
   * would undo an accepted change. Only the order of revisions decides, not the source of the document.
   *
   * @param document - a document from the store, a peer or a write
   * @returns whether the document was newer than the known one
   */
  apply (document: SettingsDocument): boolean {
    const known = this.documents.get(document.path)
    if (!isNewer(document, known)) return false
    if (known !== undefined) this.toggleInCombinedHash(known)
    this.toggleInCombinedHash(document)
    this.documents.set(document.path, document)
    this.putInForce(document)
    return true
  }

  private putInForce (document: SettingsDocument): void {
    const value = document.text === undefined ? undefined : parseAcceptedSettings(document.path, document.text)
    if (value === undefined && document.text !== undefined) {
      // A newer release may accept a document that this release cannot parse. The previous settings are better than none.
      this.logger.error('This release cannot parse a settings document; the previous settings stay in force.', {
        path: document.path,
        revision: document.revision
      })
      return
    }
    this.inForce.set(document.path, document.revision)
    this.settings = withDocument(this.settings, document.path, value)
  }

  /**
   * Adds a document to the combined hash, or removes a document that was added before. Documents are combined by exclusive or,
   * so that a change of one path needs no pass over the other paths.
   */
  private toggleInCombinedHash (document: SettingsDocument): void {
    const identity = `${document.path}\n${document.revision}\n${document.writeId}`
    const digest = createHash('sha256').update(identity).digest()
    for (let index = 0; index < HASH_BYTES; index += 1) {
      this.combinedHash[index] = (this.combinedHash[index] ?? 0) ^ (digest[index] ?? 0)
    }
  }
}

function withDocument (settings: OperatorSettings, path: SettingsPath, value: unknown): OperatorSettings {
  const team = teamOfPath(path)
  if (team !== undefined) return { ...settings, teams: withTeam(settings.teams, team, value as TeamSettings | undefined) }
  switch (path as string) {
    case '/shares': return { ...settings, shares: (value ?? sharesSettingsSchema.parse({})) as SharesSettings }
    case '/endpoints': return { ...settings, endpoints: (value ?? endpointsSettingsSchema.parse({})) as EndpointsSettings }
    case '/policy': return { ...settings, policy: (value ?? policySettingsSchema.parse({})) as PolicySettings }
    default: return settings
  }
}

function withTeam (teams: ReadonlyMap<TeamId, TeamSettings>, team: TeamId, value: TeamSettings | undefined): ReadonlyMap<TeamId, TeamSettings> {
  const changed = new Map(teams)
  if (value === undefined) changed.delete(team)
  else changed.set(team, value)
  return changed
}
