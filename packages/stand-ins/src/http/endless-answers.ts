/** Responses without an end, of which a server writes one piece after another until the connection closes. */
import type { Socket } from 'node:net'

/** What comes without an end, how large its pieces are, and how fast they come. */
export interface EndlessAnswer {
  readonly form: EndlessForm
  /** Interval between two pieces, milliseconds; 0 writes as fast as the connection takes them. */
  readonly milliseconds: number
  /** Bytes of one piece, about. */
  readonly bytes: number
}

/** Bytes that are written at once, about, when the pieces come as fast as the connection takes them. */
const WRITE_BYTES = 65_536
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'

/** What comes before the endless pieces, after the given head, and one piece. */
const FORMS = {
  comments: { before: (head: string) => head + CHUNKED, piece: (text: string) => chunkOf(`: ${text}\n\n`) },
  interim: { before: () => '', piece: (text: string) => `HTTP/1.1 103 Early Hints\r\nX-Hint: ${text}\r\n\r\n` },
  crumbs: { before: (head: string) => `${head}${CHUNKED}${chunkOf('id: 1\ndata: ')}`, piece: chunkOf },
  repeats: { before: (head: string) => head + CHUNKED, piece: (text: string) => chunkOf(`id: 1\ndata: ${text}\n\n`) },
  'header-lines': { before: (head: string) => head, piece: (text: string) => `X-Line: ${text}\r\n` },
  trailers: { before: (head: string) => `${head}${CHUNKED}0\r\n`, piece: (text: string) => `X-Line: ${text}\r\n` },
  'chunk-extension': { before: (head: string) => `${head}${CHUNKED}5;e=`, piece: (text: string) => text },
  body: { before: (head: string) => head + CHUNKED, piece: chunkOf }
} as const

/** The forms of responses without an end. */
export type EndlessForm = keyof typeof FORMS
/** All forms of responses without an end. */
export const ENDLESS_FORMS = Object.keys(FORMS) as readonly EndlessForm[]

/**
 * Writes a response without an end.
 *
 * @param head - status line and headers of the response, each with its line end
 */
export function writeEndless (socket: Socket, { form, milliseconds, bytes }: EndlessAnswer, head: string): void {
  const { before, piece } = FORMS[form]
  const text = piece('x'.repeat(bytes))
  socket.write(before(head))
  if (milliseconds === 0) return writeAll(socket, text.repeat(Math.ceil(WRITE_BYTES / text.length)))
  const timer = setInterval(() => { socket.write(text) }, milliseconds)
  socket.on('close', () => { clearInterval(timer) })
}

function writeAll (socket: Socket, text: string): void {
  while (!socket.destroyed && socket.write(text)) { /* The write buffer has room for more. */ }
  if (!socket.destroyed) socket.once('drain', () => { writeAll(socket, text) })
}

function chunkOf (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}
