/** Command `limpetwinch-load version`. */
import { Command } from '@oclif/core'

/** Prints the release and the version of Node.js. */
export default class Version extends Command {
  static override description = 'Print the release and the Node.js that runs it.'
  static override enableJsonFlag = true

  override async run (): Promise<{ release: string, node: string }> {
    const answer = { release: this.config.version, node: process.version }
    this.log(`${answer.release} on Node.js ${answer.node}`)
    return answer
  }
}
