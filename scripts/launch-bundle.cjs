#!/usr/bin/env node
// Runs the bundle beside this file with the code that an earlier start compiled. If that code is missing or was compiled by another
// version of the runtime, the bundle is compiled as usual.
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const { Module } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const BUNDLE = join(__dirname, 'limpetwinch-ingress.bundle.cjs')
const CODE_FILE = `${BUNDLE}.code`
const STORE_CODE_FLAG = '--keep-code'
/** The start is complete after this time: the modules have run, and the program has found that it has no settings. */
const START_MILLISECONDS = 1_500

const storesCode = process.argv.includes(STORE_CODE_FLAG)
const script = new Script(Module.wrap(readFileSync(BUNDLE, 'utf8')), {
  filename: BUNDLE,
  cachedData: !storesCode && existsSync(CODE_FILE) ? readFileSync(CODE_FILE) : undefined
})

/** Writes the compiled code to its file and exits; blocks the program's own earlier exit until then. */
function storeCodeAtExit () {
  const exit = process.exit
  process.exit = () => undefined
  setTimeout(() => {
    writeFileSync(CODE_FILE, script.createCachedData())
    exit.call(process, 0)
  }, START_MILLISECONDS)
}

if (storesCode) storeCodeAtExit()
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, require, bundle, BUNDLE, __dirname)
