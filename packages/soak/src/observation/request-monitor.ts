/** Records how this process sent each request: on which connection, how often, and when the response started. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** One event of a request, with its Unix time in milliseconds. */
export interface RequestStep {
  readonly at: number
  readonly what: string
}

interface ClientMessage {
  readonly request: object
  readonly headers: string
  readonly socket: Socket
}

const CONNECTED = 'undici:client:connected'
const WRITTEN = 'undici:client:sendHeaders'
const RESPONSE_STARTED = 'undici:request:headers'
const REQUEST_ID = /^x-request-id: (\S+)/im

/** Listens to the diagnostics channels of the HTTP client. A request that the client retries by itself is recorded as written twice. */
export class RequestMonitor {
  private readonly prefix: string
  private readonly steps = new Map<string, RequestStep[]>()
  private readonly connectedAt = new WeakMap<object, number>()
  private readonly ids = new WeakMap<object, string>()

  /** @param prefix - prefix of the ids of this run's requests; other runs can share the process */
  constructor (prefix: string) {
    this.prefix = prefix
  }

  /** Starts listening. */
  start (): void {
    subscribe(CONNECTED, this.onConnected)
    subscribe(WRITTEN, this.onRequestWritten)
    subscribe(RESPONSE_STARTED, this.onResponseStarted)
  }

  /** Stops listening. */
  stop (): void {
    unsubscribe(CONNECTED, this.onConnected)
    unsubscribe(WRITTEN, this.onRequestWritten)
    unsubscribe(RESPONSE_STARTED, this.onResponseStarted)
  }

  /** @returns the recorded events of a request, in order */
  stepsOf (id: string): readonly RequestStep[] {
    return this.steps.get(id) ?? []
  }

  private readonly onConnected = (message: unknown): void => {
    this.connectedAt.set((message as ClientMessage).socket, Date.now())
  }

  private readonly onRequestWritten = (message: unknown): void => {
    const { request, headers, socket } = message as ClientMessage
    const id = REQUEST_ID.exec(headers)?.[1]
    if (id === undefined || !id.startsWith(this.prefix)) return
    this.ids.set(request, id)
    this.addStep(id, `written on port ${socket.localPort}, connected at ${this.connectedAt.get(socket) ?? 'an unknown time'}`)
  }

  private readonly onResponseStarted = (message: unknown): void => {
    const id = this.ids.get((message as ClientMessage).request)
    if (id !== undefined) this.addStep(id, 'the answer began')
  }

  private addStep (id: string, what: string): void {
    const steps = this.steps.get(id) ?? []
    this.steps.set(id, steps)
    steps.push({ at: Date.now(), what })
  }
}
