/** Memory of the route table and duration of a lookup. */
import { createRouteTable } from '../../src/routing/index.js'
import type { Measurement } from './measurement.js'
import { measureHeap, measureTime } from './resource-usage.js'
import { sampleConfiguration, sampleRoute } from './samples.js'

const FIXED_SERVICES = 65
/** Distinct requests, so that lookups are not timed on a single cached string. */
const DISTINCT_LOOKUPS = 997

/** Route table by the number of routes, at a fixed number of services. */
export const routeTable: Measurement = {
  name: 'route-table',
  by: 'routes',
  sizes: [1000, 10_000, 110_000],
  quickSizes: [100, 200, 400],
  run: routes => {
    const configuration = sampleConfiguration({ services: FIXED_SERVICES, targets: 0, routes })
    const { bytes, value: table } = measureHeap(() => createRouteTable({ ...configuration, routes: [...configuration.routes] }))
    const requests = Array.from({ length: DISTINCT_LOOKUPS }, (_, i) => {
      const { host, pathPrefix } = sampleRoute(Math.floor(i * routes / DISTINCT_LOOKUPS), FIXED_SERVICES)
      return { host: `${host}:8080`, url: `${pathPrefix}/${i}?page=2` }
    })
    const lookup = measureTime(iteration => {
      const request = requests[iteration % DISTINCT_LOOKUPS]!
      if (table.find(request.host, request.url, 'GET').isErr()) throw new Error(`no route for ${request.url}`)
    })
    return [
      { measure: 'heap', unit: 'B', value: bytes },
      { measure: 'lookup', unit: 'us', value: lookup }
    ]
  }
}
