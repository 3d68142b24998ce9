/** Registers instances in the instance list of the stand-in platform. */
import { request } from 'undici'

/** One entry of the instance list. */
export interface InstanceRegistration {
  readonly id: string
  readonly kind: 'entry' | 'endpoint'
  readonly address: string
  readonly dataCentre: string
}

/** Adds an instance to the instance list with the state `live`; a real platform does this by itself. */
export async function registerInstance (platform: string, registration: InstanceRegistration): Promise<void> {
  const answer = await request(`${platform}/control/instances`, { method: 'PUT', body: JSON.stringify({ ...registration, state: 'live' }) })
  await answer.body.dump()
}
