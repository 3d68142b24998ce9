/** Runs a model server as a process of its own, whose event loop can be kept busy, and whose answers may have no length. The parent keeps the store and the record. */
import { ModelServer } from './model-server.mjs'

const options = JSON.parse(process.argv[2])
const record = { add: (text, details) => process.send({ record: [text, details ?? {}] }) }
const store = { set: (kind, name, spec) => process.send({ set: [kind, name, spec] }) }
const server = new ModelServer(record, store, options)

process.on('message', ({ busyMilliseconds, isUnframed }) => {
  if (isUnframed !== undefined) {
    server.options.isUnframed = isUnframed
    process.send({ framing: true })
    return
  }
  process.send({ busy: true }, () => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, busyMilliseconds)
  })
})
process.on('disconnect', () => process.exit())
await server.start({ holdsModel: true })
process.send({ address: server.address })
