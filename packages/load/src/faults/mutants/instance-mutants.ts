/** An instance that does not let its requests finish before it stops. */
import { EntryInstance } from '@limpetwinch/entry'

/** Kills itself at a planned stop, which cuts off its requests in progress. */
export class StopAtOnceInstance extends EntryInstance {
  override async stop (): Promise<number> {
    await this.kill()
    return 0
  }
}
