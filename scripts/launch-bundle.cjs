#!/usr/bin/env node
// Runs the bundle beside this file with the code that an earlier start compiled. Without it, or with that of another version
// of the runtime, the bundle is compiled as usual.
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const { Module } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const BUNDLE = join(__dirname, 'limpetwinch-ingress.bundle.cjs')
const CODE = `${BUNDLE}.code`
const KEEP_CODE = '--keep-code'
/** The start is over by then: modules have run, and the program has found that it has no settings. */
const START_MILLISECONDS = 1_500

const keepsCode = process.argv.includes(KEEP_CODE)
const script = new Script(Module.wrap(readFileSync(BUNDLE, 'utf8')), {
  filename: BUNDLE,
  cachedData: !keepsCode && existsSync(CODE) ? readFileSync(CODE) : undefined
})

/** Ends this process with the compiled code in its file; the program itself would end it before. */
function keepCode () {
  const exit = process.exit
  process.exit = () => undefined
  setTimeout(() => {
    writeFileSync(CODE, script.createCachedData())
    exit.call(process, 0)
  }, START_MILLISECONDS)
}

if (keepsCode) keepCode()
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, require, bundle, BUNDLE, __dirname)
