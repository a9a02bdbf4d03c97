import { err, ok, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Class, Configuration, ResolvedRoute, Route, Service } from '../model/index.js'

/** Resolves requests to their route, service and class. */
export interface RouteTable {
  /**
   * @param host value of the `Host` header, with or without port
   * @param url path and query, as in the request line
   * @returns the refusal `route-unknown` if no route matches
   */
  readonly find: (host: string, url: string, method: string) => Result<ResolvedRoute<Service>, Refusal>
}

/** Routes of one host by path prefix, without a trailing slash. */
type RoutesByPrefix = Map<string, Route[]>

/** Key of the routes that match every host; not a valid host name. */
const ANY_HOST = '*'

function hostName (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

function trimTrailingSlash (path: string): string {
  return path.endsWith('/') ? path.slice(0, -1) : path
}

function indexRoutes (routes: readonly Route[]): ReadonlyMap<string, RoutesByPrefix> {
  const hosts = new Map<string, RoutesByPrefix>()
  for (const route of routes) {
    const host = route.host?.toLowerCase() ?? ANY_HOST
    const prefixes: RoutesByPrefix = hosts.get(host) ?? new Map()
    hosts.set(host, prefixes)
    const prefix = trimTrailingSlash(route.pathPrefix)
    prefixes.set(prefix, [...prefixes.get(prefix) ?? [], route])
  }
  return hosts
}

/** A route that lists the method takes precedence over one that matches every method. */
function chooseByMethod (routes: readonly Route[], method: string): Route | undefined {
  return routes.find(route => route.methods?.includes(method) === true) ??
    routes.find(route => route.methods === undefined)
}

/** Looks up the whole path first, then shortens it by one segment at a time, down to the empty prefix. */
function longestMatch (prefixes: RoutesByPrefix, path: string, method: string): Route | undefined {
  let prefix = trimTrailingSlash(path)
  while (true) {
    const route = chooseByMethod(prefixes.get(prefix) ?? [], method)
    if (route !== undefined || prefix === '') return route
    prefix = prefix.slice(0, prefix.lastIndexOf('/'))
  }
}

interface IndexedService {
  readonly service: Service
  readonly classes: ReadonlyMap<string, Class>
}

function indexService (service: Service): IndexedService {
  return { service, classes: new Map(service.classes.map(item => [item.name, item])) }
}

/** Caches the value of each key until the key is garbage-collected. */
function memoize<Key extends object, Value> (compute: (key: Key) => Value): (key: Key) => Value {
  const cache = new WeakMap<Key, Value>()
  return key => {
    const value = cache.get(key) ?? compute(key)
    cache.set(key, value)
    return value
  }
}

// After a release note, the list of routes and most services are still the same objects. Indexing 110,000 routes again
// would block the event loop, and so all requests, for hundreds of ms.
const cachedRouteIndex = memoize(indexRoutes)
const cachedServiceIndex = memoize(indexService)

/**
 * Indexes the routes of a configuration, or reuses the index of the same list of routes. A lookup takes one step per
 * path segment, regardless of the number of routes. A prefix matches whole segments. Routes for the request's host take
 * precedence over routes for any host, then longer prefixes, then routes that list the method.
 *
 * @example
 * const table = createRouteTable(configuration)
 * table.find('holds.example:8080', '/holds/7?x=1', 'POST')
 */
export function createRouteTable (configuration: Configuration): RouteTable {
  const hosts = cachedRouteIndex(configuration.routes)
  const services = new Map(configuration.services.map(service => [service.name, cachedServiceIndex(service)]))
  const noRoutes: RoutesByPrefix = new Map()
  return {
    find: (host, url, method) => {
      const path = url.split('?', 1)[0] ?? url
      const route = longestMatch(hosts.get(hostName(host)) ?? noRoutes, path, method) ??
        longestMatch(hosts.get(ANY_HOST) ?? noRoutes, path, method)
      const entry = services.get(route?.service ?? '')
      const requestClass = entry?.classes.get(route?.class ?? '')
      if (route === undefined || entry === undefined || requestClass === undefined) {
        return err(refusal('route-unknown', `${method} ${path} on host ${JSON.stringify(hostName(host))}`))
      }
      return ok({ route: route.id, service: entry.service, class: requestClass })
    }
  }
}
