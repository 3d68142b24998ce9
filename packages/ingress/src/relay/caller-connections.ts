/**
 * Bounds what the connections of callers cost this process: how many there are, how many pipelined requests run, and how many wait behind them.
 *
 * Bytes alone do not show that cost. A read of 64 KiB holds thousands of small requests, each with its own objects, its own connection to an
 * endpoint and its own response.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Logger } from '@limpetwinch/core'
import { ReadTurns } from './read-turns.js'

/** Most requests of one connection that are served at one time; the responses are sent in the order of the requests, so more gain little. */
const MAXIMUM_RUNNING = 2
/** Most requests that are served beside an earlier one of their connection, over all connections. */
const MAXIMUM_PIPELINED = 64
/**
 * Number of waiting requests of one connection from which on nothing more is read from it. Below it the connection is read, since only a read shows that
 * its caller has left.
 */
const READ_AHEAD = 32
/** Bytes of the bodies of such requests from which on nothing more is read. */
const READ_AHEAD_BYTES = 65_536
/** Chunks of request bodies after which nothing more is read from a connection until it gets a turn. */
const CHUNKS_PER_TURN = 512
/** Time in which so many chunks have to arrive. */
const COUNTED_MILLISECONDS = 50
/** Bytes of a chunk from which on it is not small. While a connection that sends fast is not read, the operating system receives megabytes for it. */
const SMALL_CHUNK_BYTES = 128
/** Interval between two checks whether the bytes of a connection move. */
const PROGRESS_CHECK_MILLISECONDS = 1_000
/** Least time between two log lines about closed connections. */
const WARNING_INTERVAL_MILLISECONDS = 1_000
/** Time without a byte in either direction after which an unfinished request or an untaken response counts as stalled. */
const STALLED_MILLISECONDS = 5_000

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Most connections that are open at one time. */
  readonly maximumConnections: number
  /** Most requests that wait for their turn, over all connections. */
  readonly maximumWaiting: number
  /** Most connections from which nothing is read because many of their requests wait. */
  readonly maximumHeldBack: number
}

interface WaitingRequest {
  readonly incoming: IncomingMessage
  /** Called when its turn has come, or its connection was closed. */
  readonly start: (isServed: boolean) => void
}

/** One connection of a caller. */
export class CallerConnection {
  readonly socket: Socket
  private readonly all: CallerConnections
  private readonly waiting: WaitingRequest[] = []
  /** Whether nothing is read from the connection because many of its requests wait. */
  isHeldBack = false
  /** Whether nothing is read from the connection until it gets a turn. */
  private isYielding = false
  private chunks = 0
  /** Monotonic time since which the chunks are counted. */
  private countedSince: number
  /** Bytes that had been read from the connection then. */
  private bytesBefore = 0
  private running = 0
  private uploads = 0
  private bytesMoved = 0
  /** Monotonic time at which a byte was last seen to have moved. */
  movedAt: number

  /**
   * @param socket - the connection
   * @param all - the connections of the same process
   * @param now - monotonic time
   */
  constructor (socket: Socket, all: CallerConnections, now: number) {
    this.socket = socket
    this.all = all
    this.movedAt = now
    this.countedSince = now
    // Reading a request body resumes the connection, also while later requests wait.
    socket.on('resume', () => { if (this.isHeldBack || this.isYielding) socket.pause() })
    socket.once('close', () => {
      this.dropWaiting()
      all.closed(this)
    })
  }

  /** Number of requests that wait for their turn. */
  get waitingCount (): number {
    return this.waiting.length
  }

  /** Whether no request is in progress. */
  get isIdle (): boolean {
    return this.running + this.waiting.length === 0
  }

  /** Whether this process waits for the caller, which has to send the rest of a request or to take a response. */
  get awaitsCaller (): boolean {
    return this.isIdle || this.uploads > 0 || this.socket.writableLength > 0
  }

  /** Waits for the body of a request. @param body - settles when the body is complete or was refused */
  async receive<Body> (body: Promise<Body>): Promise<Body> {
    this.uploads += 1
    try {
      return await body
    } finally {
      this.uploads -= 1
    }
  }

  /**
   * Called for each chunk of a request body that is read. One turn of the event loop reads up to two megabytes from a connection; in chunks of a byte,
   * they would keep the process from everything else for seconds. Connections that send many small chunks at a time are read in turns.
   */
  chunkRead (): void {
    const now = this.all.now()
    if (now - this.countedSince >= COUNTED_MILLISECONDS) {
      this.countedSince = now
      this.bytesBefore = this.socket.bytesRead
      this.chunks = 0
    }
    this.chunks += 1
    if (this.chunks < CHUNKS_PER_TURN || this.isYielding) return
    const areSmall = this.socket.bytesRead - this.bytesBefore < this.chunks * SMALL_CHUNK_BYTES
    if (areSmall) this.awaitReadTurn()
  }

  /** Reads from the connection again, after it has waited for its turn. */
  takeReadTurn (): void {
    this.isYielding = false
    this.chunks = 0
    if (!this.isHeldBack) this.socket.resume()
  }

  /**
   * Waits until a request may be served. Nothing more is read from the connection while many wait.
   *
   * @param incoming - the request, whose body nobody reads yet
   * @returns whether the request is to be served, at once if it need not wait; false when its connection was closed before. Each turn that was granted
   *   ends with {@link endTurn}
   */
  takeTurn (incoming: IncomingMessage): true | Promise<boolean> {
    if (this.mayRun()) {
      this.begin()
      return true
    }
    const turn = new Promise<boolean>((resolve) => { this.waiting.push({ incoming, start: resolve }) })
    if (!this.isHeldBack && this.isAhead()) this.holdBack()
    this.all.waits()
    return turn
  }

  /** Ends the turn of a request whose response has left this process. */
  endTurn (): void {
    this.running -= 1
    if (this.running > 0) this.all.pipelined -= 1
    while (this.waiting.length > 0 && this.mayRun()) {
      const next = this.waiting.shift()
      this.all.waitingCount -= 1
      this.begin()
      next?.start(true)
    }
    if (this.isHeldBack && !this.isAhead()) this.readOn()
  }

  /** Closes the connection; the requests that wait are not served. */
  close (): void {
    this.dropWaiting()
    this.socket.destroy()
  }

  /** Notes whether bytes have moved since the last check. @param now - monotonic time */
  checkProgress (now: number): void {
    const { bytesRead, bytesWritten } = this.socket
    if (bytesRead + bytesWritten === this.bytesMoved) return
    this.bytesMoved = bytesRead + bytesWritten
    this.movedAt = now
  }

  /** Whether so much waits that nothing more is read. */
  private isAhead (): boolean {
    let bytes = 0
    for (const { incoming } of this.waiting) bytes += incoming.readableLength
    return this.waiting.length >= READ_AHEAD || bytes >= READ_AHEAD_BYTES
  }

  private holdBack (): void {
    this.isHeldBack = true
    this.socket.pause()
    this.all.heldBack(this)
  }

  private readOn (): void {
    this.isHeldBack = false
    this.all.readOn(this)
    if (!this.isYielding) this.socket.resume()
  }

  private awaitReadTurn (): void {
    this.isYielding = true
    this.socket.pause()
    this.all.readTurns.wait(this)
  }

  private mayRun (): boolean {
    return this.running === 0 || (this.running < MAXIMUM_RUNNING && this.all.pipelined < MAXIMUM_PIPELINED)
  }

  private begin (): void {
    if (this.running > 0) this.all.pipelined += 1
    this.running += 1
  }

  private dropWaiting (): void {
    this.all.waitingCount -= this.waiting.length
    for (const { start } of this.waiting.splice(0)) start(false)
  }
}

/** All connections of callers. */
export class CallerConnections {
  private readonly options: CallerConnectionsOptions
  private readonly open = new Map<Socket, CallerConnection>()
  /** Connections from which nothing is read, in the order in which they were held back. */
  private readonly unread = new Set<CallerConnection>()
  /** Gives turns to connections that have sent many chunks. */
  readonly readTurns: ReadTurns<CallerConnection>
  private checkedAt = -Infinity
  private warnedAt = -Infinity
  /** Number of connections that were closed because of a bound. */
  private closedByBound = 0
  /** Number of requests that wait for their turn. */
  waitingCount = 0
  /** Number of requests that are served beside an earlier one of their connection. */
  pipelined = 0

  /** @param options - the bounds */
  constructor (options: CallerConnectionsOptions) {
    this.options = options
    this.readTurns = new ReadTurns(options.clock)
  }

  /** @returns monotonic time */
  now (): number {
    return this.options.clock.now()
  }

  /** Number of connections. */
  get count (): number {
    return this.open.size
  }

  /** Adds a connection that was accepted. Beyond the bound, the one that is idle or stalled for the longest time is closed, or else the new one. */
  accept (socket: Socket): void {
    const now = this.options.clock.now()
    if (this.open.size >= this.options.maximumConnections) this.makeRoom(socket, now)
    if (!socket.destroyed) this.open.set(socket, new CallerConnection(socket, this, now))
  }

  /** @returns the connection of a socket */
  of (socket: Socket): CallerConnection {
    const known = this.open.get(socket)
    if (known !== undefined) return known
    const created = new CallerConnection(socket, this, this.options.clock.now())
    this.open.set(socket, created)
    return created
  }

  /** Called when a request begins to wait; beyond the bound, the connection with the most waiting requests is closed. */
  waits (): void {
    this.waitingCount += 1
    if (this.waitingCount <= this.options.maximumWaiting) return
    const [longest] = [...this.open.values()].sort((one, other) => other.waitingCount - one.waitingCount)
    if (longest === undefined) return
    if (this.isLogged()) this.options.logger.warn('A connection of a caller was closed because too many pipelined requests wait.', { waiting: longest.waitingCount, all: this.waitingCount, closed: this.closedByBound })
    this.drop(longest)
  }

  /** Called when nothing is read from a connection any more; beyond the bound, the one that was held back first is closed. */
  heldBack (connection: CallerConnection): void {
    this.unread.add(connection)
    if (this.unread.size <= this.options.maximumHeldBack) return
    const [first] = this.unread
    if (first === undefined) return
    if (this.isLogged()) this.options.logger.warn('A connection of a caller was closed because too many send more than is read.', { waiting: first.waitingCount, connections: this.unread.size, closed: this.closedByBound })
    this.drop(first)
  }

  /** Called when a connection is read again. */
  readOn (connection: CallerConnection): void {
    this.unread.delete(connection)
  }

  /** Notes which connections make progress; to be called regularly. */
  maintain (): void {
    const now = this.options.clock.now()
    if (now - this.checkedAt < PROGRESS_CHECK_MILLISECONDS) return
    this.checkedAt = now
    for (const connection of this.open.values()) connection.checkProgress(now)
  }

  /** Called when a connection has been closed. */
  closed (connection: CallerConnection): void {
    this.open.delete(connection.socket)
    this.unread.delete(connection)
    this.readTurns.forget(connection)
  }

  /** @returns whether a closed connection gets a log line: one a second at most, since callers that open connections again at once would fill the log */
  private isLogged (): boolean {
    const now = this.options.clock.now()
    this.closedByBound += 1
    if (now - this.warnedAt < WARNING_INTERVAL_MILLISECONDS) return false
    this.warnedAt = now
    return true
  }

  private makeRoom (socket: Socket, now: number): void {
    let victim: CallerConnection | undefined
    for (const each of this.open.values()) {
      const isStalled = each.awaitsCaller && now - each.movedAt >= STALLED_MILLISECONDS
      if (!each.isIdle && !isStalled) continue
      if (victim === undefined || each.movedAt < victim.movedAt) victim = each
    }
    if (this.isLogged()) this.options.logger.warn('A connection of a caller was closed because there are too many.', { connections: this.open.size, idle: victim?.isIdle, isNew: victim === undefined, closed: this.closedByBound })
    if (victim === undefined) socket.destroy()
    else this.drop(victim)
  }

  private drop (connection: CallerConnection): void {
    this.closed(connection)
    connection.close()
  }
}
