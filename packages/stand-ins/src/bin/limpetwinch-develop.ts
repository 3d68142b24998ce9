#!/usr/bin/env node
/** Command that starts a complete deployment of local processes for development and sends sample requests to it. */
import { Command, Flags } from '@oclif/core'
import { createLogger } from '@limpetwinch/core'
import { Deployment } from '../develop/deployment.js'
import type { RunningDeployment } from '../develop/deployment.js'
import { sendSamples } from '../develop/sample-requests.js'
import { runBinary } from './serve-stand-in.js'

/** Outcome of the demonstration with sample requests. */
type Demonstration = 'answered' | 'not answered' | 'not started' | 'interrupted'

class DevelopCommand extends Command {
  static override description = 'Starts stand-ins and two entry instances, writes sample settings and sends sample requests.'

  static override flags = {
    once: Flags.boolean({ default: false, description: 'exit after the sample requests, with code 0 if all responses were as expected' }),
    logs: Flags.boolean({ default: false, description: 'print the log lines of the processes' })
  }

  override async run (): Promise<void> {
    const { flags } = await this.parse(DevelopCommand)
    const deployment = new Deployment(createLogger('text', 'info').part('develop'), flags.logs)
    const interruption = new Interruption()
    const demonstration = await Promise.race([this.demonstrate(deployment, !flags.once), interruption.happened.then((): Demonstration => 'interrupted')])
    const keepsRunning = !flags.once && demonstration !== 'not started'
    if (keepsRunning) await interruption.happened
    await deployment.stop()
    process.exitCode = (keepsRunning || demonstration === 'answered') && deployment.lost.length === 0 ? 0 : 1
  }

  private async demonstrate (deployment: Deployment, keepsRunning: boolean): Promise<Demonstration> {
    const started = await deployment.start()
    if (started.isErr()) {
      this.printFailure(started.error.message, deployment)
      return 'not started'
    }
    let failed = 0
    for (const entry of started.value.entries) {
      const outcomes = await sendSamples({ name: entry.name, url: entry.caller, key: deployment.callerKey.key })
      for (const outcome of outcomes) this.log(outcome.line)
      failed += outcomes.filter((outcome) => !outcome.passed).length
    }
    if (failed > 0) this.printFailure(`${failed} sample requests did not get the expected response.`, deployment)
    if (keepsRunning) this.log(this.instructions(started.value, deployment))
    return failed === 0 ? 'answered' : 'not answered'
  }

  private printFailure (problem: string, deployment: Deployment): void {
    this.logToStderr(problem)
    for (const line of deployment.recentLines()) this.logToStderr(line)
  }

  private instructions ({ platform, engines, services, entries }: RunningDeployment, deployment: Deployment): string {
    const body = '{"model": "athletics/justification", "stream": true, "messages": [{"role": "user", "content": "Hello"}]}'
    return [
      '',
      'Send a request (each run creates new keys):',
      `  curl -N ${entries[0]?.caller ?? ''}/v1/chat/completions -H 'Authorization: Bearer ${deployment.callerKey.key}' \\`,
      `    -H 'Content-Type: application/json' -d '${body}'`,
      'URLs and keys:',
      ...entries.map((entry) => `  ${entry.name}: callers ${entry.caller}, operators ${entry.admin}`),
      `  operators' key: ${deployment.administratorKey.key}`,
      `  platform: ${platform}/objects?prefix=/settings, ${platform}/instances, ${platform}/control/calls`,
      ...[...engines, ...services].map((endpoint) => `  ${endpoint.id}: ${endpoint.url}/control/history`),
      'Set faults with POST /control/faults on a stand-in. End with Ctrl-C.'
    ].join('\n')
  }
}

/** Waits for the signal that ends the program. */
class Interruption {
  /** Resolves on SIGINT or SIGTERM. */
  readonly happened = new Promise<void>((resolve) => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
}

await runBinary(DevelopCommand, import.meta.url)
