/** The operator settings in force on this instance. */
import type { OperatorSettings, Revision, SettingsPath } from '@limpetwinch/core'

/** A view that only goes forward. */
export abstract class SettingsView {
  /** @returns what is in force, or undefined before the first complete read */
  abstract current (): OperatorSettings | undefined

  /** @returns the revision in force of each path, deleted ones included */
  abstract revisions (): ReadonlyMap<SettingsPath, Revision>

  /** Calls the listener after each change. */
  abstract onChange (listener: () => void): void
}
