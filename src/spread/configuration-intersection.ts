/** Intersection of several possible configurations. */
import { isDeepStrictEqual } from 'node:util'
import type { Configuration, Route, Service } from '../model/index.js'

/** The part of the configuration that a VM may use. */
export interface UsableConfiguration {
  /** The held configuration, reduced to the entries that are the same in every possible configuration. */
  readonly configuration: Configuration
  /** Names of the services that are not the same in every possible configuration, apart from their targets. */
  readonly withheldServices: ReadonlySet<string>
  /** Routes of any possible configuration that are not the same in every one. */
  readonly withheldRoutes: readonly Route[]
}

/** Whether two values have the same content. Most entries of two revisions are the same object, which is faster to compare. */
const isSame = (one: unknown, other: unknown): boolean => one === other || isDeepStrictEqual(one, other)

function hasSameSettings ({ targets: _ofOne, ...one }: Service, { targets: _ofOther, ...other }: Service): boolean {
  return isSame(one, other)
}

/** Returns the entries that every other list contains with the same content. */
function intersect<Entry> (
  list: readonly Entry[], others: ReadonlyArray<readonly Entry[]>, keyOf: (entry: Entry) => string, isEqual: (one: Entry, other: Entry) => boolean
): readonly Entry[] {
  const differing = others.filter(other => other !== list)
  if (differing.length === 0) return list
  const indexes = differing.map(other => new Map(other.map(entry => [keyOf(entry), entry])))
  return list.filter(entry => indexes.every(index => {
    const counterpart = index.get(keyOf(entry))
    return counterpart !== undefined && isEqual(entry, counterpart)
  }))
}

const nameOf = ({ name }: Service): string => name

function intersectTargets (service: Service, counterparts: readonly Service[]): Service {
  const targets = intersect(service.targets, counterparts.map(({ targets }) => targets), ({ id }) => id, isSame)
  return targets === service.targets ? service : { ...service, targets }
}

function intersectServices (current: readonly Service[], others: ReadonlyArray<readonly Service[]>): readonly Service[] {
  const indexes = others.map(services => new Map(services.map(service => [service.name, service])))
  return intersect(current, others, nameOf, hasSameSettings)
    .map(service => intersectTargets(service, indexes.flatMap(index => index.get(service.name) ?? [])))
}

/** Returns the routes of all lists that are not among the common ones, without duplicates. */
function findWithheldRoutes (common: readonly Route[], lists: ReadonlyArray<readonly Route[]>): readonly Route[] {
  const ids = new Set(common.map(({ id }) => id))
  const withheld = lists.flatMap(routes => routes.filter(({ id }) => !ids.has(id)))
  return withheld.filter((route, i) => withheld.findIndex(other => isSame(route, other)) === i)
}

/**
 * Intersects the current configuration with all alternatives to it: services with the same settings, those
 * of their targets that are equal, and routes that are equal.
 *
 * Which route matches a request depends on all routes with precedence over it. A request therefore has to be
 * resolved over the common and the withheld routes, and refused if a withheld route matches.
 *
 * @example
 * intersectConfigurations(current, [withTargetWithdrawn]).configuration // without that target
 * intersectConfigurations(current, []).configuration === current
 */
export function intersectConfigurations (current: Configuration, alternatives: readonly Configuration[]): UsableConfiguration {
  if (alternatives.length === 0) return { configuration: current, withheldServices: new Set(), withheldRoutes: [] }
  const lists = [current, ...alternatives]
  const services = intersectServices(current.services, alternatives.map(({ services }) => services))
  const routes = intersect(current.routes, alternatives.map(({ routes }) => routes), ({ id }) => id, isSame)
  const common = new Set(services.map(nameOf))
  return {
    configuration: { revision: current.revision, services, routes },
    withheldServices: new Set(lists.flatMap(({ services }) => services.map(nameOf)).filter(name => !common.has(name))),
    withheldRoutes: findWithheldRoutes(routes, lists.map(({ routes }) => routes))
  }
}
