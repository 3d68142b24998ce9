// Bundles the ingress program into one file and stores the code that V8 compiles at its start beside it. A process that loads hundreds
// of modules, or compiles a module of a megabyte, uses half a second of processor time before it can handle its first request, and
// callers of a restarted instance wait for that.
import { spawnSync } from 'node:child_process'
import { copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'

const BUNDLE = 'target/limpetwinch-ingress.bundle.cjs'
/** V8 accepts compiled code only in a process with the same flags; these are the ones in the deploy file. */
const HEAP_FLAGS = ['--max-old-space-size=200', '--max-semi-space-size=4']

/** Modules that a service needs only partly or not at all, and their replacements in the bundle. */
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
  // The main file of some packages cannot be bundled, but their ES module can.
  mainFields: ['module', 'main'],
  minify: true,
  sourcemap: false,
  external: ['cbor-extract', 'unix-dgram'],
  // Frames are small: decoding their strings in the native module gains less than finding and loading it costs at each start.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  plugins: [replaceModules]
})
// The launcher wraps the bundle in a function, so the bundle must not begin with an interpreter line.
writeFileSync(BUNDLE, readFileSync(BUNDLE, 'utf8').replace(/^#!.*\n/, ''))
copyFileSync('scripts/launch-bundle.cjs', 'target/limpetwinch-ingress.cjs')
const launch = spawnSync(process.execPath, [...HEAP_FLAGS, 'target/limpetwinch-ingress.cjs', '--keep-code'], { stdio: ['ignore', 'ignore', 'inherit'] })
if (launch.status !== 0) throw new Error('The compiled code of the bundle could not be stored.')
