// Installs dependencies and builds when needed, so that `npm start` and `npm test` work on a fresh clone without further steps.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const quiet = process.argv.includes('--quiet')

/** Runs one command of the toolchain and exits when it fails. */
function run (command, commandArguments) {
  const output = quiet ? ['ignore', 'ignore', 'inherit'] : ['ignore', 'inherit', 'inherit']
  const result = spawnSync(command, commandArguments, { stdio: output })
  if (result.status !== 0) {
    console.error(`prepare: ${command} ${commandArguments.join(' ')} failed; fix the errors printed above and run it again.`)
    process.exit(result.status ?? 1)
  }
}

const installedMarker = 'node_modules/.package-lock.json'
const installed = existsSync(installedMarker) && statSync(installedMarker).mtimeMs >= statSync('package-lock.json').mtimeMs
if (!installed) run('npm', ['ci', '--no-audit', '--no-fund'])
run('npx', ['--no-install', 'tsc', '-b'])
