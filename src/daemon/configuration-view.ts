/** View of the configuration for serving requests, including while the outcome of an announced note is unknown. */
import { err, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Configuration, ResolvedRoute, Service } from '../model/index.js'
import { createRouteTable, type RouteTable } from '../routing/index.js'
import type { Replica, UsableConfiguration } from '../spread/index.js'

/** The configuration as it applies to requests. */
export interface ConfigurationView {
  /** Finds the route of a request; refuses with `configuration-stale` when the possible configurations may route it differently. */
  readonly findRoute: (host: string, url: string, method: string, now: number) => Result<ResolvedRoute<Service>, Refusal>
  /** The refusal for a service that an undecided note may change; undefined for other services. */
  readonly checkWithheld: (service: string, now: number) => Refusal | undefined
  /**
   * The configuration for admission. It contains withheld services without targets, so that queued requests get
   * no slot, but are not refused as if the service were withdrawn.
   */
  readonly admissionConfiguration: (now: number) => Configuration
}

/** Data derived from one usable configuration. */
interface DerivedView {
  readonly usable: UsableConfiguration
  readonly routes: RouteTable
  readonly withheldRoutes: ReadonlySet<string>
  readonly admissionConfiguration: Configuration
}

function createView (usable: UsableConfiguration, replicated: Configuration): DerivedView {
  const { configuration, withheldServices, withheldRoutes } = usable
  const withoutTargets = replicated.services.filter(({ name }) => withheldServices.has(name)).map(service => ({ ...service, targets: [] }))
  const routes = withheldRoutes.length === 0 ? configuration.routes : [...withheldRoutes, ...configuration.routes]
  return {
    usable,
    routes: createRouteTable({ ...configuration, routes }),
    withheldRoutes: new Set(withheldRoutes.map(({ id }) => id)),
    admissionConfiguration: withoutTargets.length === 0 ? configuration : { ...configuration, services: [...configuration.services, ...withoutTargets] }
  }
}

/**
 * Creates the view. Derived data is recomputed only after the usable configuration changed.
 *
 * @example
 * const view = createConfigurationView(replica)
 * view.findRoute('holds.example', '/holds/7', 'GET', clock())
 */
export function createConfigurationView (replica: Pick<Replica, 'usable' | 'current'>): ConfigurationView {
  let view: DerivedView | undefined
  const viewAt = (now: number): DerivedView => {
    const usable = replica.usable(now)
    if (view?.usable !== usable) view = createView(usable, replica.current())
    return view
  }
  const refuseStale = (subject: string): Refusal => refusal('configuration-stale', `an undecided note may change ${subject}`)
  return {
    findRoute: (host, url, method, now) => {
      const { routes, withheldRoutes, usable } = viewAt(now)
      const found = routes.find(host, url, method)
      if (found.isOk()) return withheldRoutes.has(found.value.route) ? err(refuseStale('the route of the request')) : found
      // A request without a route may have one in another possible configuration.
      const isUnambiguous = withheldRoutes.size === 0 && usable.withheldServices.size === 0
      return isUnambiguous ? found : err(refuseStale('the route or the service of the request'))
    },
    checkWithheld: (service, now) => viewAt(now).usable.withheldServices.has(service) ? refuseStale(`the service "${service}"`) : undefined,
    admissionConfiguration: now => viewAt(now).admissionConfiguration
  }
}
