/** Admin API of one instance for tests of the command line: the settings API is the real one; status and explanations are fixtures. */
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { serve } from '@hono/node-server'
import { errAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'
import { LimpetwinchError, silentLogger, SystemClock } from '@limpetwinch/core'
import type { DataCentreId, InstanceId } from '@limpetwinch/core'
import { Membership, PeerNetwork, SettingsFollower, SettingsHistory, settingsRoutes, SettingsWriter } from '@limpetwinch/entry'
import type { FrameCounts, Member, ReplyBody } from '@limpetwinch/entry'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { EXPLANATION, HISTOGRAMS, STATUS } from './fixtures.js'

/** A running admin server. */
export interface TestAdminServer {
  readonly url: string
  readonly store: MemoryObjectStore
  readonly follower: SettingsFollower
  /** Waits until a watch is open and closes the connections of all watches. */
  readonly cutWatches: () => Promise<void>
  readonly stop: () => Promise<void>
}

/** Starts the admin server on a free port. */
export async function startAdminServer (administratorKeySha256: string): Promise<TestAdminServer> {
  const store = new MemoryObjectStore()
  const logger = silentLogger()
  const clock = new SystemClock()
  const follower = new SettingsFollower({ store, network: new NetworkWithoutPeers(), membership: new MembershipWithoutPeers(), logger, clock, watchMilliseconds: 200 })
  const history = new SettingsHistory(store)
  const writer = new SettingsWriter({ store, follower, history, logger, clock })
  const app = settingsRoutes({ follower, writer, history, administratorKeySha256, bodySeconds: 5 })
  app.get('/admin/status', (context) => context.json(STATUS))
  app.get('/admin/histograms', (context) => context.json(HISTOGRAMS))
  app.get('/admin/explain/:request', (context) => context.req.param('request') === EXPLANATION.requestId
    ? context.json(EXPLANATION)
    : context.json({ error: { code: 'unknown_request', message: 'This instance remembers no such request.' } }, 404))
  const ending = new AbortController()
  const run = follower.run(ending.signal)
  const server = await new Promise<Server>((resolve) => {
    const started = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, () => { resolve(started as Server) })
  })
  const watches = new Set<Socket>()
  server.on('request', (message) => {
    if (message.url?.startsWith('/admin/watch') === true) watches.add(message.socket)
    message.socket.once('close', () => { watches.delete(message.socket) })
  })
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    store,
    follower,
    cutWatches: async () => {
      while (watches.size === 0) await clock.sleep(5)
      for (const socket of watches) socket.destroy()
    },
    stop: async () => {
      server.closeAllConnections()
      server.close()
      ending.abort()
      await run
    }
  }
}

const SELF = { instance: 'one' as InstanceId, dataCentre: 'north' as DataCentreId, address: '127.0.0.1:1' }

class NetworkWithoutPeers extends PeerNetwork {
  override readonly self = SELF

  override notify (): void {}

  override call (): ResultAsync<ReplyBody, LimpetwinchError> {
    return errAsync(new LimpetwinchError('peer-unreachable', { instance: 'nobody', reason: 'there is no other' }))
  }

  override onNotice (): void {}

  override onCall (): void {}

  override connected (): readonly InstanceId[] {
    return []
  }

  override counts (): FrameCounts {
    return {}
  }
}

class MembershipWithoutPeers extends Membership {
  override members (): readonly Member[] {
    return [{ ...SELF, state: 'alive', storeReachable: true }]
  }

  override member (): Member | undefined {
    return this.members()[0]
  }

  override leavingEndpoints (): ReadonlySet<string> {
    return new Set()
  }

  override onChange (): void {}
}
