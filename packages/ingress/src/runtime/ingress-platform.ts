/** Interface between a platform and an ingress instance. */
import type { DeletingObjectStore, StoredObject } from '@limpetwinch/core'
import type { EngineControl } from '../adapters/engine-control.js'
import type { RequestCodec } from '../relay/request-codec.js'
import type { AdapterAnnouncement, Configuration, Endpoint } from '../routes/configuration.js'

/** Kinds of the platform's objects in the store, and how to decode them. */
export interface PlatformObjectFormats {
  readonly configurationKind: string
  readonly endpointKind: string
  readonly announcementKind: string
  readonly decodeConfiguration: (object: StoredObject) => Configuration | undefined
  /** @returns what is wrong with an invalid configuration, naming the fields but no key */
  readonly configurationProblems: (object: StoredObject) => readonly string[]
  readonly decodeEndpoint: (object: StoredObject) => Endpoint | undefined
  readonly decodeAnnouncement: (object: StoredObject) => AdapterAnnouncement | undefined
}

/** What a platform provides to an ingress instance. */
export interface IngressPlatform {
  readonly store: DeletingObjectStore
  readonly control: EngineControl
  readonly codec: RequestCodec
  readonly forms: PlatformObjectFormats
  /** Closes the connections to the platform. */
  readonly close: () => Promise<void>
}
