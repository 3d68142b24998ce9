/** An instance that does not wait for its requests. */
import { EntryInstance } from '@limpetwinch/entry'

/** Takes a planned stop for a reason to end at once. */
export class StopAtOnceInstance extends EntryInstance {
  override async stop (): Promise<number> {
    await this.kill()
    return 0
  }
}
