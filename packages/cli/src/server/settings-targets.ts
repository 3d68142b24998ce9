/** Targets of the admin API for paths of settings. */

/** @returns the path as the server wants it: one slash in front, none behind */
export function settingsPath (written: string): string {
  return `/${written.replace(/^\/+|\/+$/g, '')}`
}

/** @returns the target of a path's settings */
export function settingsTarget (path: string, query: Readonly<Record<string, string | undefined>> = {}): string {
  const given = Object.entries(query).filter((entry): entry is [string, string] => entry[1] !== undefined)
  const search = new URLSearchParams(given).toString()
  return `/admin/settings${encodedPath(path)}${search === '' ? '' : `?${search}`}`
}

/** @returns the target that checks a text for a path */
export function validateTarget (path: string): string {
  return `/admin/validate${encodedPath(path)}`
}

function encodedPath (path: string): string {
  return settingsPath(path).split('/').map(encodeURIComponent).join('/')
}
