/** The abstract client of the platform's list of instances and endpoints. The list lags behind the actual state. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { DataCentreId } from '../ids/ids.js'

/** One entry of the platform's list. */
export interface ListedInstance {
  /** The instance id of an entry instance, or the endpoint id of an endpoint. */
  readonly id: string
  readonly kind: 'entry' | 'endpoint'
  /** For an entry instance the `host:port` of its peer connections, for an endpoint its base URL. */
  readonly address: string
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}

/** Reads the platform's list of live and leaving instances and endpoints. An instance that is not on the list has ended. */
export abstract class InstanceList {
  /** @returns the current list of the platform, which lags behind the actual state */
  abstract read (): ResultAsync<readonly ListedInstance[], LimpetwinchError>
}
