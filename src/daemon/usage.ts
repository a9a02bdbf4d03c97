/** How requests use the configuration, also while the outcome of an announced note is not known. */
import { err, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Configuration, ResolvedRoute, Service } from '../model/index.js'
import { createRouteTable, type RouteTable } from '../routing/index.js'
import type { Replica, UsableConfiguration } from '../spread/index.js'

/** The configuration as requests see it. */
export interface Usage {
  /** Resolves a request; `configuration-stale` when the possible configurations may resolve it differently. */
  readonly find: (host: string, url: string, method: string, now: number) => Result<ResolvedRoute<Service>, Refusal>
  /** The refusal of a service whose settings may have changed. */
  readonly withheld: (service: string, now: number) => Refusal | undefined
  /**
   * The configuration for admission. A withheld service has no targets in it, so that requests in its queue get
   * no slot but are not told that the service was withdrawn.
   */
  readonly admission: (now: number) => Configuration
}

/** What is derived from one usable configuration. */
interface View {
  readonly usable: UsableConfiguration
  readonly routes: RouteTable
  readonly withheldRoutes: ReadonlySet<string>
  readonly admission: Configuration
}

function createView (usable: UsableConfiguration, held: Configuration): View {
  const { configuration, withheldServices, withheldRoutes } = usable
  const emptied = held.services.filter(({ name }) => withheldServices.has(name)).map(service => ({ ...service, targets: [] }))
  const routes = withheldRoutes.length === 0 ? configuration.routes : [...withheldRoutes, ...configuration.routes]
  return {
    usable,
    routes: createRouteTable({ ...configuration, routes }),
    withheldRoutes: new Set(withheldRoutes.map(({ id }) => id)),
    admission: emptied.length === 0 ? configuration : { ...configuration, services: [...configuration.services, ...emptied] }
  }
}

/**
 * Creates the usage; what it derives is computed again only when the usable configuration changed.
 *
 * @example
 * const usage = createUsage(replica)
 * usage.find('holds.example', '/holds/7', 'GET', clock())
 */
export function createUsage (replica: Pick<Replica, 'usable' | 'current'>): Usage {
  let view: View | undefined
  const viewAt = (now: number): View => {
    const usable = replica.usable(now)
    if (view?.usable !== usable) view = createView(usable, replica.current())
    return view
  }
  const stale = (what: string): Refusal => refusal('configuration-stale', `a note whose outcome is not known may change ${what}`)
  return {
    find: (host, url, method, now) => {
      const { routes, withheldRoutes, usable } = viewAt(now)
      const found = routes.find(host, url, method)
      if (found.isOk()) return withheldRoutes.has(found.value.route) ? err(stale('the route of the request')) : found
      // Without a match, the request may have a route in another possible configuration.
      const isWhole = withheldRoutes.size === 0 && usable.withheldServices.size === 0
      return isWhole ? found : err(stale('the route or the service of the request'))
    },
    withheld: (service, now) => viewAt(now).usable.withheldServices.has(service) ? stale(`the service "${service}"`) : undefined,
    admission: now => viewAt(now).admission
  }
}
