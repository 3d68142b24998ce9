// Bundles the ingress binary into one file and keeps the code that its start compiles beside it: a process that loads hundreds
// of modules, or compiles one of a megabyte, uses half a second of processor time before it can take its first request, and
// after a kill its callers wait for that.
import { spawnSync } from 'node:child_process'
import { copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'

const BUNDLE = 'target/limpetwinch-ingress.bundle.cjs'
/** Compiled code is taken only by a process with the same flags; this one stands in the deploy file. */
const HEAP_FLAG = '--max-old-space-size=200'

/** Modules of which a service needs nothing or a part, and what stands in for them in the bundle. */
const REPLACED = new Map([
  ['undici', 'scripts/bundled/undici.cjs'],
  ['http2', 'scripts/bundled/no-http2.cjs'],
  ['node:http2', 'scripts/bundled/no-http2.cjs'],
  ['@dabh/diagnostics', 'scripts/bundled/no-diagnostics.cjs'],
  ['./lib/pushgateway', 'scripts/bundled/no-pushgateway.cjs']
])

const replaceModules = {
  name: 'replace modules',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^(undici|(node:)?http2|@dabh\/diagnostics|\.\/lib\/pushgateway)$/ }, ({ path }) => ({ path: resolve(REPLACED.get(path)) }))
  }
}

await build({
  entryPoints: ['platform/src/bin/limpetwinch-ingress.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Some packages' main file is a form that cannot be bundled, beside one that can.
  mainFields: ['module', 'main'],
  minify: true,
  sourcemap: false,
  external: ['cbor-extract', 'unix-dgram'],
  // Frames are small: decoding their texts in the native module gains less than finding and loading it costs at each start.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  plugins: [replaceModules]
})
// The launcher wraps the bundle into a function, before which no interpreter may be named.
writeFileSync(BUNDLE, readFileSync(BUNDLE, 'utf8').replace(/^#!.*\n/, ''))
copyFileSync('scripts/launch-bundle.cjs', 'target/limpetwinch-ingress.cjs')
const kept = spawnSync(process.execPath, [HEAP_FLAG, 'target/limpetwinch-ingress.cjs', '--keep-code'], { stdio: ['ignore', 'ignore', 'inherit'] })
if (kept.status !== 0) throw new Error('The compiled code of the bundle could not be kept.')
