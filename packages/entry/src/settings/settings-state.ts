/** The newest settings known to this instance, kept parsed. */
import { createHash } from 'node:crypto'
import { endpointsSettingsSchema, isNewer, parseAcceptedSettings, policySettingsSchema, sharesSettingsSchema, teamOfPath } from '@limpetwinch/core'
import type { EndpointsSettings, Logger, OperatorSettings, PolicySettings, Revision, SettingsDocument, SettingsPath, SharesSettings, TeamId, TeamSettings } from '@limpetwinch/core'

const HASH_BYTES = 8

/** Holds one document for each path, each only ever replaced by a newer one. */
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

  /** @param logger - of the part that holds this */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** @returns all that is in force, parsed; the same object until something changes */
  current (): OperatorSettings {
    return this.settings
  }

  /** @returns the revision in force of each path */
  revisions (): ReadonlyMap<SettingsPath, Revision> {
    return this.inForce
  }

  /** @returns the newest document of a path, deleted ones included */
  document (path: SettingsPath): SettingsDocument | undefined {
    return this.documents.get(path)
  }

  /** @returns every newest document */
  all (): Iterable<SettingsDocument> {
    return this.documents.values()
  }

  /** @returns a hash over path, revision and write id of every newest document, in any order */
  hash (): string {
    return this.combinedHash.toString('hex')
  }

  /**
   * Takes a document as it stands, whole.
   *
   * A stale read, a stale watch, a peer with old news and a store restored from a copy all bring an older document;
   * in force it would undo an accepted change. Order of revisions alone decides, whatever it came from.
   *
   * @param document - from the store, a peer or a write
   * @returns whether it was newer than what was known
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
      // A newer release may accept what this one cannot read; the former settings are better than none.
      this.logger.error('A document cannot be read by this release; what was in force stays.', { path: document.path, revision: document.revision })
      return
    }
    this.inForce.set(document.path, document.revision)
    this.settings = withDocument(this.settings, document.path, value)
  }

  /** Exclusive or keeps one hash over all paths without a pass over them for each change. */
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
