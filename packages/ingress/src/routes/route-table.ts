/** Finds the route of a request: the longest path prefix, among the routes of the host, that matches the path. */
import type { Route, RouteTarget } from './configuration.js'

/** The routes of one configuration, by host. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>()

  /** @param routes - all routes of a configuration */
  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase()
      const ofHost = this.byHost.get(host) ?? new Map<string, Route>()
      ofHost.set(route.pathPrefix, route)
      this.byHost.set(host, ofHost)
    }
  }

  /**
   * Looks up the route of a request. The cost grows with the number of slashes in the path, not with the number of routes, so a
   * lookup among thousands of routes takes no longer than among ten.
   *
   * @param host - value of the Host header, with or without a port
   * @param target - path and query
   * @returns the route; undefined when none matches
   */
  match (host: string, target: string): Route | undefined {
    const ofHost = this.byHost.get(host.toLowerCase()) ?? this.byHost.get(host.toLowerCase().replace(/:\d+$/, ''))
    if (ofHost === undefined) return undefined
    const query = target.indexOf('?')
    const path = query === -1 ? target : target.slice(0, query)
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = ofHost.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }
}

/**
 * Picks one of a route's services at random, in proportion to the weights.
 *
 * @param targets - services that share the route's requests
 * @param random - uniformly distributed between 0 and 1
 * @returns the target; undefined when no target has a weight above 0
 */
export function pickTarget (targets: readonly RouteTarget[], random: number): RouteTarget | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let left = random * total
  for (const target of targets) {
    left -= target.weight
    if (left < 0 && target.weight > 0) return target
  }
  return targets.find((target) => target.weight > 0)
}
