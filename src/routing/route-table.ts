import { err, ok, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Class, Configuration, ResolvedRoute, Route, Service } from '../model/index.js'

/** Finds the route, service and class of a request. */
export interface RouteTable {
  /**
   * @param host value of the Host header, with or without port
   * @param url path with query, as in the request line
   * @returns `route-unknown` when nothing matches
   */
  readonly find: (host: string, url: string, method: string) => Result<ResolvedRoute<Service>, Refusal>
}

/** Routes of one host by path prefix without a trailing slash. */
type Prefixes = Map<string, Route[]>

/** Key of the routes that hold for every host; not a valid host name. */
const ANY_HOST = '*'

function hostName (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

function trimSlash (path: string): string {
  return path.endsWith('/') ? path.slice(0, -1) : path
}

function indexRoutes (routes: readonly Route[]): ReadonlyMap<string, Prefixes> {
  const hosts = new Map<string, Prefixes>()
  for (const route of routes) {
    const host = route.host?.toLowerCase() ?? ANY_HOST
    const prefixes: Prefixes = hosts.get(host) ?? new Map()
    hosts.set(host, prefixes)
    const prefix = trimSlash(route.pathPrefix)
    prefixes.set(prefix, [...prefixes.get(prefix) ?? [], route])
  }
  return hosts
}

/** A route that names methods wins over one that holds for every method. */
function chooseByMethod (routes: readonly Route[], method: string): Route | undefined {
  return routes.find(route => route.methods?.includes(method) === true) ??
    routes.find(route => route.methods === undefined)
}

/** Walks from the whole path to the empty prefix, one segment at a time. */
function longestMatch (prefixes: Prefixes, path: string, method: string): Route | undefined {
  let prefix = trimSlash(path)
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

/** Computes a value once for each key and forgets it with the key. */
function memoize<Key extends object, Value> (compute: (key: Key) => Value): (key: Key) => Value {
  const known = new WeakMap<Key, Value>()
  return key => {
    const value = known.get(key) ?? compute(key)
    known.set(key, value)
    return value
  }
}

// A note leaves the list of routes and most services as the same objects; indexing all routes again takes
// hundreds of ms at 110,000 of them, in which no request is served.
const indexRoutesOnce = memoize(indexRoutes)
const indexServiceOnce = memoize(indexService)

/**
 * Indexes the routes of a configuration; the index of the same list of routes is used again. A lookup costs one step for each path
 * segment, whatever the number of routes. A prefix matches whole segments; a
 * route for the named host wins over one for any host, then the longer prefix,
 * then the route that names the method.
 *
 * @example
 * const table = createRouteTable(configuration)
 * table.find('holds.example:8080', '/holds/7?x=1', 'POST')
 */
export function createRouteTable (configuration: Configuration): RouteTable {
  const hosts = indexRoutesOnce(configuration.routes)
  const services = new Map(configuration.services.map(service => [service.name, indexServiceOnce(service)]))
  const none: Prefixes = new Map()
  return {
    find: (host, url, method) => {
      const path = url.split('?', 1)[0] ?? url
      const route = longestMatch(hosts.get(hostName(host)) ?? none, path, method) ??
        longestMatch(hosts.get(ANY_HOST) ?? none, path, method)
      const entry = services.get(route?.service ?? '')
      const requestClass = entry?.classes.get(route?.class ?? '')
      if (route === undefined || entry === undefined || requestClass === undefined) {
        return err(refusal('route-unknown', `${method} ${path} on host ${JSON.stringify(hostName(host))}`))
      }
      return ok({ route: route.id, service: entry.service, class: requestClass })
    }
  }
}
