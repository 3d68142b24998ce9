/** What this process did with each request: on which connection it was written, how often, and when the answer began. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** One thing that happened to a request. */
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
const ANSWERED = 'undici:request:headers'
const REQUEST_ID = /^x-request-id: (\S+)/im

/** Hears of the HTTP client's steps; a client that sends a request again by itself shows as a second one. */
export class RequestMonitor {
  private readonly prefix: string
  private readonly steps = new Map<string, RequestStep[]>()
  private readonly connectedAt = new WeakMap<object, number>()
  private readonly ids = new WeakMap<object, string>()

  /** @param prefix - of the ids of this run's requests; other runs may share the process */
  constructor (prefix: string) {
    this.prefix = prefix
  }

  /** Begins to listen. */
  start (): void {
    subscribe(CONNECTED, this.onConnected)
    subscribe(WRITTEN, this.onWritten)
    subscribe(ANSWERED, this.onAnswered)
  }

  /** Listens no more. */
  stop (): void {
    unsubscribe(CONNECTED, this.onConnected)
    unsubscribe(WRITTEN, this.onWritten)
    unsubscribe(ANSWERED, this.onAnswered)
  }

  /** @returns what happened to a request, in order */
  stepsOf (id: string): readonly RequestStep[] {
    return this.steps.get(id) ?? []
  }

  private readonly onConnected = (message: unknown): void => {
    this.connectedAt.set((message as ClientMessage).socket, Date.now())
  }

  private readonly onWritten = (message: unknown): void => {
    const { request, headers, socket } = message as ClientMessage
    const id = REQUEST_ID.exec(headers)?.[1]
    if (id === undefined || !id.startsWith(this.prefix)) return
    this.ids.set(request, id)
    this.addStep(id, `written on port ${socket.localPort}, connected at ${this.connectedAt.get(socket) ?? 'an unknown time'}`)
  }

  private readonly onAnswered = (message: unknown): void => {
    const id = this.ids.get((message as ClientMessage).request)
    if (id !== undefined) this.addStep(id, 'the answer began')
  }

  private addStep (id: string, what: string): void {
    const steps = this.steps.get(id) ?? []
    this.steps.set(id, steps)
    steps.push({ at: Date.now(), what })
  }
}
