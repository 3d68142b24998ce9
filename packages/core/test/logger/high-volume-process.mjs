// Writes lines to standard output faster than they are read. Reports on standard error whether its event loop was blocked for
// more than two seconds, and how many lines were dropped.
import { LineSink } from '../../dist/logger/line-sink.js'

const LINES = 60_000
const LINES_AT_ONCE = 200
const sink = new LineSink(1)
let longest = 0
let last = performance.now()
const beat = setInterval(() => {
  const now = performance.now()
  longest = Math.max(longest, now - last)
  last = now
}, 5)

for (let line = 0; line < LINES; line++) {
  sink.add(JSON.stringify({ message: 'x'.repeat(100), line }), line % 2 === 0 ? 'step' : 'outcome')
  if (line % LINES_AT_ONCE === 0) await new Promise((resolve) => { setTimeout(resolve, 1) })
}
sink.add(JSON.stringify({ message: 'last fault' }), 'fault')
clearInterval(beat)
process.stderr.write(JSON.stringify({ blocked: longest > 2_000, dropped: sink.dropped }))
await new Promise((resolve) => { process.stdin.once('data', resolve) })
await sink.flush(10_000)
process.exit(0)
