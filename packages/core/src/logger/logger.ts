/** The one logger: short sentences, with the label of the part that speaks as a fixed prefix. */
import winston from 'winston'
import Transport from 'winston-transport'
import type { LinePriority, LineSink } from './line-sink.js'

/** How log lines are written. */
export type LogFormat = 'text' | 'json'

/** Severities, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** A logger for one part of the process. */
export interface Logger {
  error: (sentence: string, fields?: Record<string, unknown>) => void
  warn: (sentence: string, fields?: Record<string, unknown>) => void
  info: (sentence: string, fields?: Record<string, unknown>) => void
  debug: (sentence: string, fields?: Record<string, unknown>) => void
  /** @returns a logger for a part, with its label as prefix */
  part: (label: string) => Logger
}

const textLine = winston.format.printf((entry) => {
  const { timestamp, level, label, message, ...fields } = entry
  const rest = Object.keys(fields).length === 0 ? '' : ` ${JSON.stringify(fields)}`
  return `${timestamp} ${level} [${label}] ${message}${rest}`
})

/** Fields are plain values of this program, so that the runtime's own encoder does; the library's checks each value in turn. */
const jsonLine = winston.format.printf((entry) => JSON.stringify(entry))

/** Wraps a winston logger, which knows no labels of its own. */
function labelledLogger (target: winston.Logger, label: string): Logger {
  const at = (level: LogLevel) => (sentence: string, fields: Record<string, unknown> = {}): void => {
    target.log(level, sentence, { ...fields, label })
  }
  return { error: at('error'), warn: at('warn'), info: at('info'), debug: at('debug'), part: (next) => labelledLogger(target, next) }
}

/**
 * Makes the logger of a process; it writes to standard error, so that standard output stays for results.
 *
 * @param format - text or JSON lines
 * @param level - the least severe level written
 * @returns a logger labelled `process`
 */
export function createLogger (format: LogFormat, level: LogLevel): Logger {
  const form = format === 'json' ? winston.format.json() : textLine
  const target = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), form),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
  })
  return labelledLogger(target, 'process')
}

const PRIORITY_OF_LEVEL: Readonly<Record<string, LinePriority>> = { error: 'fault', warn: 'fault', info: 'outcome', debug: 'step' }
/** Where winston keeps a line's text. */
const MESSAGE = Symbol.for('message')

/** A winston transport before a {@link LineSink}. */
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
 * Makes the logger of a process whose log is its only witness: JSON lines, none of which ever blocks.
 *
 * @param sink - takes the lines
 * @param level - the least severe level written
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
