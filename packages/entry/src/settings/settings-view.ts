/** Read access to the operator settings in force on this instance. */
import type { OperatorSettings, Revision, SettingsPath } from '@limpetwinch/core'

/** The settings in force. The revision of a path never goes back. */
export abstract class SettingsView {
  /** @returns the settings in force, or undefined before the first complete read */
  abstract current (): OperatorSettings | undefined

  /** @returns the revision in force of each path, including paths whose newest document is a deletion */
  abstract revisions (): ReadonlyMap<SettingsPath, Revision>

  /** Registers a listener that is called after each change. */
  abstract onChange (listener: () => void): void
}
