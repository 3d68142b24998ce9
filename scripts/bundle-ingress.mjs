// Bundles the ingress binary into one file: a process that loads hundreds of modules would use most of a second of
// processor time before it could take its first request.
import { buildSync } from 'esbuild'

buildSync({
  entryPoints: ['platform/src/bin/limpetwinch-ingress.ts'],
  outfile: 'target/limpetwinch-ingress.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Some packages' main file is a form that cannot be bundled, beside one that can.
  mainFields: ['module', 'main'],
  minify: true,
  keepNames: true,
  sourcemap: false,
  external: ['cbor-extract', 'unix-dgram'],
  // Dependencies in the older module form call `require`, which modules of the newer form do not have.
  banner: { js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);" }
})
