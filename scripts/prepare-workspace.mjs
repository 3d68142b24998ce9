// Installs and builds when needed, so that `npm start` and `npm test` work alone on a fresh clone.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const quiet = process.argv.includes('--quiet')

/** Runs one command of the toolchain and ends the whole script when it fails. */
function run (command, commandArguments) {
  const output = quiet ? ['ignore', 'ignore', 'inherit'] : ['ignore', 'inherit', 'inherit']
  const result = spawnSync(command, commandArguments, { stdio: output })
  if (result.status !== 0) {
    console.error(`prepare: ${command} ${commandArguments.join(' ')} failed; mend what it printed above and run again.`)
    process.exit(result.status ?? 1)
  }
}

const installedMark = 'node_modules/.package-lock.json'
const installed = existsSync(installedMark) && statSync(installedMark).mtimeMs >= statSync('package-lock.json').mtimeMs
if (!installed) run('npm', ['ci', '--no-audit', '--no-fund'])
run('npx', ['--no-install', 'tsc', '-b'])
