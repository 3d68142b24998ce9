/** Puts instances on the stand-in platform's list. */
import { request } from 'undici'

/** One line of the list. */
export interface InstanceRegistration {
  readonly id: string
  readonly kind: 'entry' | 'endpoint'
  readonly address: string
  readonly dataCentre: string
}

/** Does what a real platform does by itself: puts one line, as live, on the list of instances. */
export async function registerInstance (platform: string, line: InstanceRegistration): Promise<void> {
  const answer = await request(`${platform}/control/instances`, { method: 'PUT', body: JSON.stringify({ ...line, state: 'live' }) })
  await answer.body.dump()
}
