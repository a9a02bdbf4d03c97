/** Checks of the configuration that results from a note. */
import type { Configuration, Note, Route, Service } from '../model/index.js'
import { listEntries, routeKey, serviceKey, targetKey } from './entries.js'
import { showValue, type Mistake } from '../schema/index.js'

/** A floor above the total number of slots would prevent every ejection and hide the loss of capacity. */
function checkFloor ({ name, floor, targets }: Service): readonly Mistake[] {
  const slots = targets.reduce((sum, target) => sum + target.slots, 0)
  return floor <= slots ? [] : [{ path: `${serviceKey(name)}.floor`, found: String(floor), allowed: `at most ${slots}, the slots of its targets` }]
}

/** If two targets had the same endpoint, its slots would be counted twice. */
function checkEndpoints ({ name, targets }: Service): readonly Mistake[] {
  const owners = new Map<string, string>()
  return targets.flatMap(({ id, address, port }) => {
    const endpoint = `${address}:${port}`
    const owner = owners.get(endpoint)
    if (owner === undefined) owners.set(endpoint, id)
    return owner === undefined
      ? []
      : [{ path: targetKey(name, id), found: showValue(endpoint), allowed: `an address and port other than those of ${owner}` }]
  })
}

function checkDestination (route: Route, services: ReadonlyMap<string, Service>): readonly Mistake[] {
  const service = services.get(route.service)
  const path = routeKey(route.id)
  if (service === undefined) return [{ path: `${path}.service`, found: showValue(route.service), allowed: 'a service that exists' }]
  const classes = service.classes.map(({ name }) => name)
  return classes.includes(route.class)
    ? []
    : [{ path: `${path}.class`, found: showValue(route.class), allowed: `a class of ${service.name}: ${classes.join(', ')}` }]
}

function haveCommonMethod (one: Route, other: Route): boolean {
  return one.methods === undefined || other.methods === undefined || one.methods.some(method => other.methods?.includes(method))
}

/** Key of the host and path prefix that a route matches. */
const matchKey = ({ host = '*', pathPrefix }: Route): string => `${host} ${pathPrefix}`

/** Routes with the same host, path prefix and method would be ambiguous. */
function checkAmbiguity (namedRoutes: readonly Route[], routes: readonly Route[]): readonly Mistake[] {
  if (namedRoutes.length === 0) return []
  const matches = new Set(namedRoutes.map(matchKey))
  const candidates = routes.filter(route => matches.has(matchKey(route)))
  return namedRoutes.flatMap(route => candidates
    .filter(other => other.id !== route.id && matchKey(other) === matchKey(route) && haveCommonMethod(route, other))
    .map(other => ({
      path: routeKey(route.id),
      found: showValue({ host: route.host, pathPrefix: route.pathPrefix, methods: route.methods }),
      allowed: `a host, prefix and method other than those of ${routeKey(other.id)}`
    })))
}

/**
 * Returns every mistake in `configuration` that `note` can have caused. Only the services and routes that
 * the note affects are checked, so that the cost does not grow with the size of the configuration.
 */
export function checkConfiguration (configuration: Configuration, note: Note): readonly Mistake[] {
  const entries = listEntries(note)
  const names = new Set(entries.flatMap(({ service }) => service ?? []))
  const ids = new Set(entries.flatMap(({ kind, id }) => kind === 'route' ? id : []))
  const services = new Map(configuration.services.map(service => [service.name, service]))
  const namedServices = configuration.services.filter(({ name }) => names.has(name))
  const namedRoutes = configuration.routes.filter(({ id }) => ids.has(id))
  const affectedRoutes = configuration.routes.filter(({ id, service }) => ids.has(id) || names.has(service))
  return [
    ...namedServices.flatMap(checkFloor),
    ...namedServices.flatMap(checkEndpoints),
    ...affectedRoutes.flatMap(route => checkDestination(route, services)),
    ...checkAmbiguity(namedRoutes, configuration.routes)
  ]
}
