#!/usr/bin/env node
/** Starts a whole deployment for development and sends it sample requests; the only program that starts processes. */
import { Command, Flags } from '@oclif/core'
import { createLogger } from '@limpetwinch/core'
import { Deployment } from '../develop/deployment.js'
import type { RunningDeployment } from '../develop/deployment.js'
import { sendSamples } from '../develop/sample-requests.js'
import { runBinary } from './serve-stand-in.js'

/** How far the demonstration came. */
type Demonstration = 'answered' | 'not answered' | 'not started' | 'interrupted'

class DevelopCommand extends Command {
  static override description = 'Starts stand-ins and two entry instances, puts sample settings in and sends sample requests.'

  static override flags = {
    once: Flags.boolean({ default: false, description: 'end after the sample requests: 0 when all were answered as expected' }),
    logs: Flags.boolean({ default: false, description: 'pass on what the processes log' })
  }

  override async run (): Promise<void> {
    const { flags } = await this.parse(DevelopCommand)
    const deployment = new Deployment(createLogger('text', 'info').part('develop'), flags.logs)
    const interruption = new Interruption()
    const shown = await Promise.race([this.demonstrate(deployment, !flags.once), interruption.happened.then((): Demonstration => 'interrupted')])
    const stays = !flags.once && shown !== 'not started'
    if (stays) await interruption.happened
    await deployment.stop()
    process.exitCode = (stays || shown === 'answered') && deployment.lost.length === 0 ? 0 : 1
  }

  private async demonstrate (deployment: Deployment, stays: boolean): Promise<Demonstration> {
    const started = await deployment.start()
    if (started.isErr()) {
      this.explain(started.error.message, deployment)
      return 'not started'
    }
    let failed = 0
    for (const entry of started.value.entries) {
      const outcomes = await sendSamples({ name: entry.name, url: entry.caller, key: deployment.callerKey.key })
      for (const outcome of outcomes) this.log(outcome.line)
      failed += outcomes.filter((outcome) => !outcome.passed).length
    }
    if (failed > 0) this.explain(`${failed} sample requests were not answered as expected.`, deployment)
    if (stays) this.log(this.directions(started.value, deployment))
    return failed === 0 ? 'answered' : 'not answered'
  }

  private explain (problem: string, deployment: Deployment): void {
    this.logToStderr(problem)
    for (const line of deployment.recentLines()) this.logToStderr(line)
  }

  private directions ({ platform, engines, services, entries }: RunningDeployment, deployment: Deployment): string {
    const body = '{"model": "athletics/justification", "stream": true, "messages": [{"role": "user", "content": "Hello"}]}'
    return [
      '',
      'Send a request (each run makes new keys):',
      `  curl -N ${entries[0]?.caller ?? ''}/v1/chat/completions -H 'Authorization: Bearer ${deployment.callerKey.key}' \\`,
      `    -H 'Content-Type: application/json' -d '${body}'`,
      'Where to look:',
      ...entries.map((entry) => `  ${entry.name}: callers ${entry.caller}, operators ${entry.admin}`),
      `  operators' key: ${deployment.administratorKey.key}`,
      `  platform: ${platform}/objects?prefix=/settings, ${platform}/instances, ${platform}/control/calls`,
      ...[...engines, ...services].map((endpoint) => `  ${endpoint.id}: ${endpoint.url}/control/history`),
      'Set faults with POST /control/faults on a stand-in. End with Ctrl-C.'
    ].join('\n')
  }
}

/** The reader's wish to end. */
class Interruption {
  readonly happened = new Promise<void>((resolve) => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
}

await runBinary(DevelopCommand, import.meta.url)
