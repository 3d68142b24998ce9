// Runs the unit and failure tests and then, one at a time, the tests with crowds of callers. Ignores failures of the tests listed in
// KNOWN-RED.txt and prints one line of counts at the end.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const MAXIMUM_KNOWN_RED = 3
/** Names the files of the tests with crowds, which measure the memory of a process and run apart from other load. */
const CROWD = /\.crowd\.test\.ts/

/** @returns the lines of the tests that may fail; the text before the first ` | ` of a line is the full name of the test */
function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return []
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return lines.map((line) => line.trim()).filter((line) => line !== '' && !line.startsWith('#'))
}

/** Runs the tests of one kind. @returns the report of the runner and its exit code; undefined without a report */
function run (runnerArguments) {
  const report = join(mkdtempSync(join(tmpdir(), 'limpetwinch-tests-')), 'report.json')
  const vitest = spawnSync('npx', ['--no-install', 'vitest', 'run', '--passWithNoTests', '--reporter=default', '--reporter=json',
    `--outputFile.json=${report}`, ...runnerArguments, ...process.argv.slice(2)], { stdio: ['ignore', 'inherit', 'inherit'] })
  if (existsSync(report)) return { files: JSON.parse(readFileSync(report, 'utf8')).testResults, status: vitest.status }
  console.error('The test runner wrote no report; see its output above.')
  process.exit(vitest.status || 1)
}

const knownRed = readKnownRed()
// An entry of a test with a crowd has a line of its own, however many there are.
const counted = knownRed.filter((line) => !CROWD.test(line.split(' | ')[1] ?? ''))
if (counted.length > MAXIMUM_KNOWN_RED) {
  console.error(`KNOWN-RED.txt lists ${counted.length} tests; at most ${MAXIMUM_KNOWN_RED} may be listed.`)
  process.exit(1)
}

const runs = [run(['--exclude', '**/*.crowd.test.ts']), run(['--config', 'vitest.crowd.config.ts'])]
const results = runs.flatMap(({ files }) => files)
const tests = results.flatMap((file) => file.assertionResults)
const brokenFiles = results.filter((file) => file.status === 'failed' && file.assertionResults.every((test) => test.status !== 'failed'))
const failed = tests.filter((test) => test.status === 'failed')
const knownFailures = failed.filter((test) => knownRed.some((line) => line.split(' | ')[0] === test.fullName))
const passed = tests.filter((test) => test.status === 'passed')
for (const test of knownFailures) console.log(`known red: ${test.fullName}`)
for (const file of brokenFiles) console.log(`broken file: ${file.name}: ${file.message}`)

const failures = failed.length - knownFailures.length + brokenFiles.length
// An unhandled error fails no test, but makes the runner's exit code non-zero.
const runnerFailed = runs.some(({ files, status }) => status !== 0 && files.every((file) => file.status !== 'failed'))
console.log(`${passed.length} passed, ${failures + (runnerFailed ? 1 : 0)} failed`)
process.exit(failures > 0 || runnerFailed ? 1 : 0)
