#!/usr/bin/env node
/** Command that runs soak tests with injected faults, by hand or in CI. */
import { createWriteStream, mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { Command, Flags } from '@oclif/core'
import { runBinary } from '@limpetwinch/stand-ins'
import { SOAK_FAULTS } from '../faults/index.js'
import { SoakRun } from '../soak-run.js'
import type { SoakOutcome } from '../soak-run.js'

const MAXIMUM_SEED = 2 ** 30
const VIOLATION_EXIT_CODE = 1

class SoakCommand extends Command {
  static override description = 'Runs deployments of real processes under injected faults and checks their guarantees; exits with code 1 on a violation.'

  static override flags = {
    seed: Flags.integer({ min: 1, description: 'seed of the first run; random by default' }),
    runs: Flags.integer({ default: 1, min: 1, description: 'number of runs, with consecutive seeds' }),
    concurrency: Flags.integer({ default: 1, min: 1, description: 'number of runs in parallel' }),
    seconds: Flags.integer({ default: 15, min: 1, description: 'length of the period in which faults start, in seconds' }),
    faults: Flags.integer({ default: 6, min: 0, description: 'number of faults in a run' }),
    fault: Flags.string({ multiple: true, options: SOAK_FAULTS.map(({ kind }) => kind), description: 'inject only faults of this kind; can be given several times' }),
    instances: Flags.integer({ default: 3, min: 1, max: 200, description: 'number of ingress instances' }),
    engines: Flags.integer({ default: 4, min: 1, max: 200, description: 'number of model servers' }),
    slots: Flags.integer({ default: 4, min: 1, max: 50, description: 'adapter slots of each model server' }),
    teams: Flags.boolean({ default: true, allowNo: true, description: 'requests need keys of teams, and one team has a quota' }),
    versions: Flags.boolean({ default: false, description: 'engines of two software versions serve, and callers take up streams at other instances' }),
    keep: Flags.string({ description: 'folder for the logs of the instances; not kept by default' })
  }

  override async run (): Promise<void> {
    const { flags } = await this.parse(SoakCommand)
    const firstSeed = flags.seed ?? 1 + Math.floor(Math.random() * MAXIMUM_SEED)
    const seeds = Array.from({ length: flags.runs }, (_, index) => firstSeed + index)
    const faults = SOAK_FAULTS.filter(({ kind }) => flags.fault === undefined || flags.fault.includes(kind))
    const outcomes: SoakOutcome[] = []
    const runSeeds = async (): Promise<void> => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const size = { instances: flags.instances, engines: flags.engines, webServers: 2, adapterSlots: flags.slots }
        const outcome = await new SoakRun({ seed, seconds: flags.seconds, size, faults, hasTeams: flags.teams, hasVersions: flags.versions, faultCount: flags.faults, onLog: createLogWriter(flags.keep, seed) }).run()
        outcomes.push(outcome)
        this.printOutcome(outcome)
      }
    }
    await Promise.all(Array.from({ length: flags.concurrency }, runSeeds))
    const sum = (figure: (outcome: SoakOutcome) => number): number => outcomes.reduce((total, outcome) => total + figure(outcome), 0)
    this.log(`${outcomes.length} runs, ${sum(({ faults: injected }) => injected.length)} faults, ${sum(({ requests }) => requests)} requests, ${sum(({ served }) => served)} served, ${sum(({ violations }) => violations.length)} violations`)
    process.exitCode = outcomes.some(({ violations }) => violations.length > 0) ? VIOLATION_EXIT_CODE : 0
  }

  private printOutcome ({ seed, requests, served, faults, lateMilliseconds, violations }: SoakOutcome): void {
    this.log(`seed ${seed}: ${served} of ${requests} served; ${faults.join(', ')}; timers late by ${lateMilliseconds} ms at most`)
    for (const { promise, message, account } of violations) {
      this.log(`seed ${seed}: BROKEN ${promise}: ${message}`)
      for (const line of account) this.log(`  ${line}`)
    }
  }
}

/** @returns a function that writes log lines of a run to a file in the folder; without a folder, one that drops them */
function createLogWriter (folder: string | undefined, seed: number): (instance: string, line: string) => void {
  if (folder === undefined) return () => {}
  mkdirSync(folder, { recursive: true })
  const file = createWriteStream(join(folder, `soak-${seed}.log`))
  return (instance, line) => { file.write(`${instance} ${line}\n`) }
}

await runBinary(SoakCommand, import.meta.url)
