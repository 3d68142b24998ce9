/** A caller that keeps to PROTOCOL.md. */
import { randomBytes } from 'node:crypto'
import { request } from 'node:http'
import { HOST, MODEL } from './deployment.mjs'

/**
 * Sends one request and waits for the end of its answer.
 *
 * @returns the status (undefined without an answer), the headers, the body as received and whether its end was seen
 */
export async function call (record, { front, name }, { method = 'POST', path, adapter, tokens = '40,100', parts, deadline, firstWithin, body, headers = {}, agent = false, onData = () => {} }) {
  const id = randomBytes(8).toString('hex')
  const model = adapter === undefined ? {} : { 'X-Model': adapter === '' ? MODEL : `${MODEL}/${adapter}`, 'X-Token-Usage': tokens, 'X-Prompt-Prefix': parts ?? `${randomBytes(4).toString('hex')}:${tokens.split(',')[0]}` }
  record.add(`sent ${id}`, { to: name, method, path, adapter, bytes: body?.length })
  return await new Promise((resolve) => {
    const chunks = []
    let response
    const outgoing = request({ ...front, method, path, agent, headers: { Host: HOST, 'X-Request-Id': id, 'X-Deadline': String(deadline), ...model, ...headers } })
    const timer = setTimeout(() => outgoing.destroy(new Error('deadline')), deadline)
    const patience = firstWithin === undefined ? undefined : setTimeout(() => { if (chunks.length === 0) outgoing.destroy(new Error('no first event')) }, firstWithin)
    const end = (isWhole, reason) => {
      clearTimeout(timer)
      clearTimeout(patience)
      const result = { id, status: response?.statusCode, headers: response?.headers ?? {}, body: Buffer.concat(chunks), isWhole, reason }
      record.add(`answered ${id}`, { status: result.status, signature: result.headers['x-server-signature'], bytes: result.body.length, isWhole, reason })
      resolve(result)
    }
    outgoing.on('response', (incoming) => {
      response = incoming
      incoming.on('data', (chunk) => {
        chunks.push(chunk)
        onData(Buffer.concat(chunks))
      })
      incoming.on('error', (error) => end(false, error.message))
      incoming.on('end', () => end(incoming.complete, undefined))
    })
    outgoing.on('error', (error) => { if (response === undefined) end(false, error.message) })
    outgoing.end(body)
  })
}
