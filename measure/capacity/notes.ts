/** Time that a VM takes to apply one accepted note. */
import { applyNote } from '../../src/notes/index.js'
import { createRouteTable } from '../../src/routing/index.js'
import { TARGETS_PER_SERVICE } from './configuration.js'
import type { MeasuredValue, Measurement } from './measurement.js'
import { measureTime } from './resource-usage.js'
import { sampleConfiguration, sampleNote, sampleRoute, type Sizes } from './samples.js'

/** Routes per service in the expected fleet: 110,000 routes and 6,500 services. */
const ROUTES_PER_SERVICE = 17

function measureNoteApplication (sizes: Sizes): readonly MeasuredValue[] {
  const configuration = sampleConfiguration(sizes)
  const service = configuration.services[Math.floor(sizes.services / 2)]!
  const targetNote = sampleNote(2, service)
  const noEntries = { services: [], targets: [], routes: [] }
  const route = { ...sampleRoute(0, sizes.services), class: 'write' }
  const routeNote = { ...targetNote, note: { ...targetNote.note, changed: { ...noEntries, routes: [route] } } }
  const apply = (note: typeof targetNote): void => {
    const applied = applyNote(configuration, note)
    if (applied.isErr()) throw new Error(applied.error.detail)
  }
  return [
    { measure: 'applyTargetNote', unit: 'us', value: measureTime(() => apply(targetNote)) },
    { measure: 'applyRouteNote', unit: 'us', value: measureTime(() => apply(routeNote)) },
    // The daemon rebuilds the route table on the first request after each note.
    { measure: 'rebuildAfterTargetNote', unit: 'us', value: measureTime(() => createRouteTable({ ...configuration })) },
    { measure: 'rebuildAfterRouteNote', unit: 'us', value: measureTime(() => createRouteTable({ ...configuration, routes: [...configuration.routes] })) }
  ]
}

/** Applies one note, by the number of routes, with services in proportion. */
export const noteApplicationByRoutes: Measurement = {
  name: 'note-by-routes',
  by: 'routes',
  sizes: [1000, 10_000, 110_000],
  quickSizes: [100, 200, 400],
  run: routes => measureNoteApplication({ services: Math.round(routes / ROUTES_PER_SERVICE), targets: routes, routes })
}

/** Applies one note, by the number of targets, with services in proportion and a single route. */
export const noteApplicationByTargets: Measurement = {
  name: 'note-by-targets',
  by: 'targets',
  sizes: [1500, 15_000, 150_000],
  quickSizes: [230, 460, 920],
  run: targets => measureNoteApplication({ services: Math.round(targets / TARGETS_PER_SERVICE), targets, routes: 1 })
}
