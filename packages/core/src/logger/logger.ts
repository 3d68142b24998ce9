/** The logger of all packages. Each line holds a short sentence, optional fields and the label of the component that logs it. */
import winston from 'winston'
import Transport from 'winston-transport'
import type { LinePriority, LineSink } from './line-sink.js'

/** The format of log lines: a readable line of text, or one JSON object for each line. */
export type LogFormat = 'text' | 'json'

/** The severities of log lines, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** A logger for one component of the process. */
export interface Logger {
  error: (message: string, fields?: Record<string, unknown>) => void
  warn: (message: string, fields?: Record<string, unknown>) => void
  info: (message: string, fields?: Record<string, unknown>) => void
  debug: (message: string, fields?: Record<string, unknown>) => void
  /** @returns a logger that marks its lines with another label */
  part: (label: string) => Logger
}

const textLine = winston.format.printf((entry) => {
  const { timestamp, level, label, message, ...fields } = entry
  const fieldsText = Object.keys(fields).length === 0 ? '' : ` ${JSON.stringify(fields)}`
  return `${timestamp} ${level} [${label}] ${message}${fieldsText}`
})

/** Formats a line with JSON.stringify, which suffices because all fields are plain values. The JSON format of winston checks each value in turn. */
const jsonLine = winston.format.printf((entry) => JSON.stringify(entry))

/** Wraps a winston logger, which has no labels of its own, and adds the label to each line. */
function labelledLogger (target: winston.Logger, label: string): Logger {
  const logAt = (level: LogLevel) => (message: string, fields: Record<string, unknown> = {}): void => {
    target.log(level, message, { ...fields, label })
  }
  return { error: logAt('error'), warn: logAt('warn'), info: logAt('info'), debug: logAt('debug'), part: (next) => labelledLogger(target, next) }
}

/**
 * Creates the logger of a process. The logger writes to standard error, since standard output is reserved for results.
 *
 * @param format - text or JSON lines
 * @param level - the least severe level that is written
 * @returns a logger labelled `process`
 */
export function createLogger (format: LogFormat, level: LogLevel): Logger {
  const lineFormat = format === 'json' ? winston.format.json() : textLine
  const target = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), lineFormat),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
  return labelledLogger(target, 'process')
}

/** The priority with which a {@link LineSink} keeps the lines of each level when its buffer is nearly full. */
const PRIORITY_OF_LEVEL: Readonly<Record<string, LinePriority>> = { error: 'fault', warn: 'fault', info: 'outcome', debug: 'step' }
/** The key under which winston stores the formatted line. */
const MESSAGE = Symbol.for('message')

/** A winston transport that writes to a {@link LineSink}. */
class LineSinkTransport extends Transport {
  private readonly sink: LineSink

  constructor (sink: LineSink) {
    super()
    this.sink = sink
  }

  override log (entry: Record<string | symbol, unknown>, next: () => void): void {
    this.sink.add(String(entry[MESSAGE]), PRIORITY_OF_LEVEL[String(entry.level)] ?? 'outcome')
    next()
  }
}

/**
 * Creates the logger of a process whose failures are investigated from its log alone. The logger writes JSON lines without blocking.
 *
 * @param sink - receives the lines
 * @param level - the least severe level that is written
 * @returns a logger labelled `process`
 */
export function createStructuredLogger (sink: LineSink, level: LogLevel): Logger {
  const target = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), jsonLine),
    transports: [new LineSinkTransport(sink)]
  })
  return labelledLogger(target, 'process')
}

/** @returns a logger that writes nothing, for tests */
export function silentLogger (): Logger {
  return labelledLogger(winston.createLogger({ silent: true, transports: [new winston.transports.Console()] }), 'silent')
}
