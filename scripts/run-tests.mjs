// Runs the unit and failure tests, ignores failures of the tests listed in KNOWN-RED.txt, and prints one line of counts at the end.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const MAXIMUM_KNOWN_RED = 3

/** @returns the lines of the tests that may fail; the text before the first ` | ` of a line is the full name of the test */
function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return []
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return lines.map((line) => line.trim()).filter((line) => line !== '' && !line.startsWith('#'))
}

const knownRed = readKnownRed()
if (knownRed.length > MAXIMUM_KNOWN_RED) {
  console.error(`KNOWN-RED.txt lists ${knownRed.length} tests; at most ${MAXIMUM_KNOWN_RED} may be listed.`)
  process.exit(1)
}

const report = join(mkdtempSync(join(tmpdir(), 'limpetwinch-tests-')), 'report.json')
const vitest = spawnSync('npx', ['--no-install', 'vitest', 'run', '--reporter=default', '--reporter=json',
  `--outputFile.json=${report}`, ...process.argv.slice(2)], { stdio: ['ignore', 'inherit', 'inherit'] })
if (!existsSync(report)) {
  console.error('The test runner wrote no report; see its output above.')
  process.exit(vitest.status || 1)
}

const results = JSON.parse(readFileSync(report, 'utf8')).testResults
const tests = results.flatMap((file) => file.assertionResults)
const brokenFiles = results.filter((file) => file.status === 'failed' && file.assertionResults.every((test) => test.status !== 'failed'))
const failed = tests.filter((test) => test.status === 'failed')
const knownFailures = failed.filter((test) => knownRed.some((line) => line.split(' | ')[0] === test.fullName))
const passed = tests.filter((test) => test.status === 'passed')
for (const test of knownFailures) console.log(`known red: ${test.fullName}`)
for (const file of brokenFiles) console.log(`broken file: ${file.name}: ${file.message}`)

const failures = failed.length - knownFailures.length + brokenFiles.length
// An unhandled error fails no test, but makes the runner's exit code non-zero.
const runnerFailed = vitest.status !== 0 && failed.length === 0 && brokenFiles.length === 0
console.log(`${passed.length} passed, ${failures + (runnerFailed ? 1 : 0)} failed`)
process.exit(failures > 0 || runnerFailed ? 1 : 0)
