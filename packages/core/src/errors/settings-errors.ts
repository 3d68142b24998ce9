/** The rows of the table of errors on the settings that operators write. */
import type { ErrorData } from './error-data.js'

export const SETTINGS_ERRORS = {
  'invalid-settings': {
    title: 'The settings are not valid.',
    status: 422,
    outcome: 'not_run',
    message: ({ problems }) => `The settings were refused: ${problems}`
  },
  'unknown-settings-path': {
    title: 'The path is not a settings path.',
    status: 404,
    outcome: 'not_run',
    message: ({ path }) => `'${path}' is not a settings path. Use exactly /teams/<team>, /shares, /endpoints or /policy.`
  },
  'no-settings': {
    title: 'Nothing is set under this path.',
    status: 404,
    outcome: 'not_run',
    message: ({ path }) => `Nothing is set under '${path}'. Put a first document there, based on revision 0.`
  },
  'revision-needed': {
    title: 'The change names no revision.',
    status: 428,
    outcome: 'not_run',
    message: ({ path }) => `The change of '${path}' names no revision. Read it first, then send its revision as If-Match: "<revision>", or "0" if nothing is set yet.`
  },
  'no-such-revision': {
    title: 'The revision is not stored.',
    status: 404,
    outcome: 'not_run',
    message: ({ path, revision, kept }) => `Revision ${revision} of '${path}' is not stored. Request one of ${kept}.`
  },
  'settings-unread': {
    title: 'This instance has no settings yet.',
    status: 503,
    outcome: 'not_run',
    message: () => 'This instance has not read the settings yet. Try again in a moment, or ask another instance.'
  },
  'invalid-patch': {
    title: 'The patch is not valid.',
    status: 400,
    outcome: 'not_run',
    message: ({ reason }) => `The patch was refused: ${reason}.`
  },
  'invalid-instance-settings': {
    title: 'The instance settings are not valid.',
    status: 500,
    outcome: 'not_run',
    message: ({ problems }) => `The instance settings were refused: ${problems}`
  },
  'revision-conflict': {
    title: 'The settings have changed.',
    status: 409,
    outcome: 'not_run',
    message: ({ path, newest }) => `'${path}' is now at revision ${newest}. Check what changed, then send your change based on that revision.`
  }
} as const satisfies Record<string, ErrorData>
