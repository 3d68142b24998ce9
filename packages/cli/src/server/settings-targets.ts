/**
 * Builds the HTTP request targets (URL path and query string) of the calls to the admin API that read, change or validate settings.
 * Each target names the settings path that the call is about.
 */

/** @returns the path in the server's format: one leading slash, no trailing slash */
export function settingsPath (path: string): string {
  return `/${path.replace(/^\/+|\/+$/g, '')}`
}

/** @returns the request target for the settings of a path, with the query parameters that are defined */
export function settingsTarget (path: string, query: Readonly<Record<string, string | undefined>> = {}): string {
  const parameters = Object.entries(query).filter((entry): entry is [string, string] => entry[1] !== undefined)
  const search = new URLSearchParams(parameters).toString()
  return `/admin/settings${encodedPath(path)}${search === '' ? '' : `?${search}`}`
}

/** @returns the request target of the call that validates a document for a path */
export function validateTarget (path: string): string {
  return `/admin/validate${encodedPath(path)}`
}

function encodedPath (path: string): string {
  return settingsPath(path).split('/').map(encodeURIComponent).join('/')
}
