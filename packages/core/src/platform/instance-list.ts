/** The platform's list of instances and endpoints, which lags behind. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { DataCentreId } from '../ids/ids.js'

/** One line of the platform's list. */
export interface ListedInstance {
  /** An instance id for entry instances, an endpoint id for endpoints. */
  readonly id: string
  readonly kind: 'entry' | 'endpoint'
  /** `host:port` for peers (entry) or the base URL (endpoint). */
  readonly address: string
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}

/** The platform's list of live and leaving instances. An instance that is not on it has ended. */
export abstract class InstanceList {
  /** @returns the list as the platform knows it now, which lags */
  abstract read (): ResultAsync<readonly ListedInstance[], LimpetwinchError>
}
